"""Find out whether a deployment asks for control of capacity that is short."""

from dataclasses import dataclass

FAR_DOMAIN_DELAY_S = 0.003
"""One-way delay between failure domains from which on nodes learn so late of one
another's placements that they have to agree on who gets capacity."""
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True)
class Activation:
    """What a deployment's settings and configuration switch on.

    Parameters
    ----------
    is_contended : bool
        Whether requests compete for capacity. If not, no request waits in the queue
        that all nodes share, no customer has a share, and nothing is reserved.
    held_limit_bytes : int
        Memory that this process may use; 0 for no limit.
    """

    is_contended: bool = False
    held_limit_bytes: int = 0


def find_activation(settings, routing, *, has_contended_capacity):
    """Return what the settings and the configuration switch on.

    Parameters
    ----------
    settings : RelaySettings
        Settings of the node.
    routing : RoutingConfig or None
        Configuration in force; None if there is none yet.
    has_contended_capacity : callable
        Tells whether callers compete for capacity under a list of contracts.
    """
    delays = routing.domain_delays if routing is not None else ()
    is_contended = has_contended_capacity(settings.contracts) or any(
        delay.delay_s >= FAR_DOMAIN_DELAY_S for delay in delays
    )
    if not is_contended:
        return Activation()
    return Activation(True, int(settings.memory_mb * BYTES_PER_MB))
