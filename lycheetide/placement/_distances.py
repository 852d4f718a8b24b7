"""Distances between failure domains, by the delays that the configuration declares."""


def find_round_trips(delays, domain):
    """Return the round trip from a failure domain to each one with a declared delay.

    Parameters
    ----------
    delays : iterable of DomainDelay
        Declared one-way delays; each holds both ways.
    domain : str
        Failure domain of this node.

    Returns
    -------
    dict of str to float
        Round trip in seconds by failure domain; domains without a declared delay from
        this one are absent.
    """
    return {
        (delay.second if delay.first == domain else delay.first): 2 * delay.delay_s
        for delay in delays
        if domain in (delay.first, delay.second)
    }


def find_longest_delay_s(delays):
    """Return the longest declared one-way delay in seconds, 0 if none is declared."""
    return max((delay.delay_s for delay in delays), default=0.0)
