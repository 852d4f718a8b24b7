"""Errors of upstream calls, by whether the request may have been started."""


class UpstreamError(Exception):
    """A failed call to an upstream.

    Attributes
    ----------
    may_have_started : bool
        Whether the upstream may have started the request.
    """

    may_have_started = True


class UpstreamConnectError(UpstreamError):
    """No connection could be opened, so nothing of the request was sent."""

    may_have_started = False


class UpstreamRefusedError(UpstreamError):
    """The upstream reported that it did not start the request."""

    may_have_started = False


class UpstreamBrokenError(UpstreamError):
    """The connection broke, or the response was malformed or reported an error.

    The request may have been sent, and the upstream may have run it.
    """


class UpstreamTimeoutError(UpstreamError):
    """The upstream sent nothing for too long after it got the request."""
