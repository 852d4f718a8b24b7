"""Messages with values that can't be right, from faulty or foreign senders."""

import math

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from lycheetide.admission import (
    AdmissionQueue,
    CustomerUsage,
    InvalidMessage,
    ReturnTable,
    read_deferred_message,
    read_waiting_message,
)
from lycheetide.gossip import Deferred, Waiting

WAITING = Waiting("n", "j", 5, 7, 1, 30, 900, 250)
DEFERRED = Deferred("n", 99, 5, 250, 100, 2_000)
VALUES = st.one_of(
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from([-1, 0, 1, 2**31, 10**12, float("nan"), float("inf"), "", None]),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(VALUES, min_size=7, max_size=7), st.integers(0, 9))
def test_any_value_is_either_counted_as_invalid_or_harmless(values, kept):
    """Guards against values that stop a node, or upset its order for good."""
    queue, table = AdmissionQueue(), ReturnTable()
    fields = list(WAITING.__struct_fields__)[2:]
    changed = dict(zip(fields, values, strict=True))
    changed.pop(fields[kept % 7])
    valid = {field: getattr(WAITING, field) for field in fields}
    for message in (
        Waiting("n", "j", **(valid | changed)),
        *(Waiting("n", "j", **(valid | {key: changed[key]})) for key in changed),
    ):
        try:
            request = read_waiting_message(message, now_s=50.0)
        except InvalidMessage:
            continue
        queue.note(request, now_s=50.0)
        ahead = queue.list_ahead(None, service=request.service, now_s=50.0)
        assert math.isfinite(ahead.engine_s) and 0 <= ahead.tokens <= 10**8
        assert queue.next_number() <= 10**12 + 1
        queue.drop("n", "j")
    try:
        deferred = read_deferred_message(Deferred("n", *values[:5]), now_s=50.0)
    except InvalidMessage:
        return
    table.note(deferred, now_s=50.0)
    assert deferred.kept_until_s - 50.0 <= 240.0


@pytest.mark.parametrize("engine_s", [-1.0, float("nan"), float("inf")])
def test_usage_ignores_times_that_cannot_be_right(engine_s):
    """Guards against a customer that is above its share for ever, or never."""
    usage = CustomerUsage()
    assert not usage.add(1, engine_s, now_s=0.0)
    assert usage.usage_s(1, now_s=0.0) == 0.0


def test_valid_messages_are_read_as_they_were_meant():
    """Guards against fields that are swapped or have the wrong unit."""
    request = read_waiting_message(WAITING, now_s=50.0)
    assert (request.engine_s, request.due_s, request.weight) == (0.03, 50.25, 1.0)
    deferred = read_deferred_message(DEFERRED, now_s=50.0)
    assert (deferred.returns_s, deferred.kept_until_s) == (50.1, 52.1)


def test_job_that_is_reported_twice_is_counted_once():
    """Guards against usage that grows with the number of hubs."""
    usage = CustomerUsage()
    for now_s in (0.0, 0.01):
        usage.add(1, 5.0, now_s=now_s, job=("n", "j"))
    assert usage.usage_s(1, now_s=0.01) <= 5.0
