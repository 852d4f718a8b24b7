"""What can go wrong with a call to an upstream, by what may have happened there."""


class UpstreamError(Exception):
    """A call that did not end with its answer."""

    started_maybe = True


class UpstreamUnreached(UpstreamError):
    """No connection came about, so no byte of the request has left."""

    started_maybe = False


class UpstreamRefused(UpstreamError):
    """The upstream itself said that it has not started the request."""

    started_maybe = False


class UpstreamBroke(UpstreamError):
    """The connection or the answer broke after the request may have left."""


class UpstreamSilent(UpstreamError):
    """The upstream took the request and then said nothing for too long."""
