"""Which replicas may get new work according to the configuration."""

from lycheetide.charts import load_chart

DOMAIN_CHART = load_chart("domain")


def takes_new_work(upstream, domains):
    """Return whether a replica may get new work.

    The owner of the cell checks this before it grants a permit, and the entry node
    checks it again before it sends the request.

    Parameters
    ----------
    upstream : Upstream or None
        The entry of the replica; None if the configuration no longer has one.
    domains : mapping of str to FailureDomain
        The failure domains of the configuration.

    Returns
    -------
    bool
        False if the replica is unknown or leaving, or if its failure domain is unknown
        or out of service.
    """
    if upstream is None or upstream.state != "in":
        return False
    domain = domains.get(upstream.failure_domain)
    return domain is not None and not DOMAIN_CHART.has_flag(domain.state, "closed")
