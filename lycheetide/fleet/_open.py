"""Whether the configuration lets a replica take new work."""

from lycheetide.charts import load_chart

CHART = load_chart("domain")


def takes_new_work(upstream, domains):
    """Tell whether a replica may get new work.

    Parameters
    ----------
    upstream : Upstream or None
        The replica's entry; None where there is none any more.
    domains : mapping of str to FailureDomain
        The configuration's failure domains.

    Returns
    -------
    bool
        The owner asks before it grants, and the entry node again before it sends.
    """
    if upstream is None or upstream.state != "in":
        return False
    domain = domains.get(upstream.failure_domain)
    return domain is not None and not CHART.has(domain.state, "closed")
