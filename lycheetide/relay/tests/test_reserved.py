"""Reserved replicas are used only where requests compete for capacity."""

from types import SimpleNamespace

import pytest

from lycheetide.admission import Activation
from lycheetide.demand import DemandTable
from lycheetide.gossip import Job, JobPart, JobTable
from lycheetide.placement import RequestSize
from lycheetide.relay._selection import count_reserved

SERVICE = SimpleNamespace(name="service", engine=None)


@pytest.mark.parametrize(
    ("is_contended", "tokens", "expected"),
    [(False, 200_000, 0), (True, 1_000, 0), (True, 200_000, 8)],
)
def test_only_long_prompts_that_compete_leave_replicas_alone(
    is_contended, tokens, expected
):
    """Other deployments must place as before, and short prompts everywhere."""
    demand = DemandTable(lambda _: "service")
    table = JobTable(demand)
    for number in range(40):
        job = Job(f"{number}", "n", (JobPart("r", 0.03),), 0.0, 60.0)
        table.start(job, now_s=0.0)
    relay = SimpleNamespace(activation=Activation(is_contended), demand=demand)
    call = SimpleNamespace(service=SERVICE, size=RequestSize(tokens, 500))
    found = count_reserved(relay, call, [object()] * 60, now_s=2.0)
    assert found == expected
