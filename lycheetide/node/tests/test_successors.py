"""A silent attempt is kept until its successor can be sent; one retry is spent."""

from types import SimpleNamespace

import anyio
import pytest

from lycheetide.fleet import Customer, FailureDomain, Fleet, Upstream
from lycheetide.limits import CustomerRetryBudgets
from lycheetide.metrics import Counters
from lycheetide.node import _successors
from lycheetide.node._permits import PermitSpec
from lycheetide.node._state import HeldPermit, make_cell_index, read_clock
from lycheetide.outcomes import NotRunError, Reason
from lycheetide.routing import AdmittedRequest
from lycheetide.upstreams import SilenceTimer

pytestmark = pytest.mark.anyio

CUSTOMER = Customer("kestrel", "0" * 64, retries_per_s=0.0, retry_burst=1.0)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_node():
    """Return a stub with what the search for a successor needs of a node.

    It has two engines, ``a1`` and ``a2``.
    """
    engines = {
        name: Upstream(name, "engine", "m", "cork-a", f"http://{name}", "c")
        for name in ("a1", "a2")
    }
    domains = {"cork-a": FailureDomain("cork-a", "munster")}
    fleet = Fleet(upstreams=engines, failure_domains=domains)
    return SimpleNamespace(
        fleet=fleet,
        get_cell_index=lambda: make_cell_index(fleet, "munster"),
        budgets=CustomerRetryBudgets(),
        counters=Counters(None),
        note=lambda *_, **__: None,
        is_fresh=lambda *, now_s: True,
        is_recovering_from_stall=lambda *, now_s: False,
        settings=SimpleNamespace(permit_use_s=2.0),
    )


async def find_successor(node, monkeypatch, permits):
    """Find a successor of ``a1``; return its replicas and those of released permits."""
    given_back = []

    async def acquire_permit(node, spec):
        came = permits.pop(0)
        if isinstance(came, NotRunError):
            raise came
        return HeldPermit(SimpleNamespace(replicas=(came,)), "c"), read_clock()

    monkeypatch.setattr(_successors, "SEEK_AGAIN_S", 0.01)
    monkeypatch.setattr(_successors, "acquire_permit", acquire_permit)
    monkeypatch.setattr(
        _successors, "release_permit", lambda _, held: given_back.append(held)
    )
    now_s = read_clock()
    admitted = AdmittedRequest("r1", CUSTOMER, None, now_s, now_s + 20.0)
    silence = SilenceTimer()
    silence.begin(-1.0)
    with anyio.fail_after(5.0):
        held, _ = await _successors.acquire_successor(
            node, PermitSpec(admitted, "m", 1, 1), ("a1",), silence, attempts=1
        )
    return held.permit.replicas, [held.permit.replicas for held in given_back]


async def test_a_refusal_or_the_silent_replica_is_not_a_successor(monkeypatch):
    """A refusal comes first, then a permit for the silent replica itself."""
    node = make_node()
    refusal = NotRunError(Reason.NO_CAPACITY)
    found, given_back = await find_successor(node, monkeypatch, [refusal, "a1", "a2"])
    assert (found, given_back) == (("a2",), [("a1",)])
    assert node.budgets.retries == {"kestrel": 1}


async def test_a_node_that_may_not_send_keeps_its_silent_attempt(monkeypatch):
    """A node is cut off for a moment, just when a successor's permit is granted.

    If the silent attempt were given up then, the request would end with the reason "not
    fresh", although its upstream may still answer.
    """
    node = make_node()
    freshness = [False, True]
    node.is_fresh = lambda *, now_s: freshness.pop(0)
    found, given_back = await find_successor(node, monkeypatch, ["a2", "a2"])
    assert (found, given_back) == (("a2",), [("a2",)])
    assert node.budgets.retries == {"kestrel": 1}
