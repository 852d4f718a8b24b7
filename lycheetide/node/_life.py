"""Step a node's life by what it can know."""

import anyio

from lycheetide.metrics import get_log
from lycheetide.node._state import read_clock

LIFE_TICK_S = 0.1
WAKING_PAUSE_S = 0.02

log = get_log("node")


def step_life(node, *, now_s):
    """Step a node's life.

    A node that hears neither the log nor most of its peers can't know whether a
    failure domain has been taken out; it tells the balancer that it is not ready,
    while an outage of the log alone changes nothing.
    """
    knows = node.config.version > 0 and node.is_fresh(now_s=now_s)
    if not node.step("caught_up" if knows else "lost_contact"):
        return
    log.info(
        "The node's state changed.",
        extra={
            "state": node.life,
            "log_age_ms": round((now_s - node.log_asked_s) * 1e3),
            "is_majority_heard": node.membership.is_majority_heard(now_s=now_s),
        },
    )
    node.counters.add(f"node.{node.life}")


async def keep_life(node):
    """Step a node's life, for ever."""
    while True:
        step_life(node, now_s=read_clock())
        await anyio.sleep(LIFE_TICK_S)


async def wait_until_awake(node, *, until_s):
    """Wait while a node's knowledge is old only since the node itself stood still."""
    while node.is_waking(now_s=read_clock()) and read_clock() < until_s:
        await anyio.sleep(WAKING_PAUSE_S)
    step_life(node, now_s=read_clock())
