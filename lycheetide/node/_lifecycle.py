"""Update a node's lifecycle state by whether its knowledge is current."""

import anyio

from lycheetide.metrics import get_logger
from lycheetide.node._state import read_clock

LIFECYCLE_INTERVAL_S = 0.1
RECOVERY_POLL_S = 0.02

log = get_logger("node")


def update_lifecycle(node, *, now_s):
    """Update a node's lifecycle state.

    A node that hears neither the log nor most of its peers can't know whether a
    failure domain has been taken out. It then tells the load balancer that it is not
    ready. An outage of the log alone changes nothing.
    """
    is_current = node.config.version > 0 and node.is_fresh(now_s=now_s)
    if not node.step("caught_up" if is_current else "lost_contact"):
        return
    log.info(
        "The node's state changed.",
        extra={
            "state": node.lifecycle_state,
            "log_age_ms": round((now_s - node.log_read_started_s) * 1e3),
            "is_majority_heard": node.membership.is_majority_heard(now_s=now_s),
        },
    )
    node.counters.add(f"node.{node.lifecycle_state}")


async def keep_life(node):
    """Update a node's lifecycle state periodically."""
    while True:
        update_lifecycle(node, now_s=read_clock())
        await anyio.sleep(LIFECYCLE_INTERVAL_S)


async def wait_for_stall_recovery(node, *, until_s):
    """Wait while a node's state is stale only because its process stalled."""
    while node.is_recovering_from_stall(now_s=read_clock()) and read_clock() < until_s:
        await anyio.sleep(RECOVERY_POLL_S)
    update_lifecycle(node, now_s=read_clock())
