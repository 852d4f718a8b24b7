"""All charts are sound, and broken ones say all that is wrong."""

import pytest

from lycheetide.charts import ChartError, load_chart
from lycheetide.charts._chart import parse_chart

NAMES = ("booking", "domain", "node", "request", "upstream")


@pytest.mark.parametrize("name", NAMES)
def test_every_state_can_be_reached(name):
    chart = load_chart(name)
    reached = {chart.initial}
    for _ in chart.transitions:
        reached |= {t for (s, _), t in chart.transitions.items() if s in reached}
    states = {s for s, _ in chart.transitions} | set(chart.transitions.values())
    assert states <= reached


def test_a_request_that_was_sent_is_never_unsent_by_a_break_alone():
    """After a break the request waits for another attempt.

    It must not be told "not run" then; the run remembers that it was sent.
    """
    chart = load_chart("request")
    assert not chart.has("sent", "unsent")
    assert not chart.has("answering", "unsent")


def test_a_booking_that_was_sent_is_never_released():
    chart = load_chart("booking")
    for state in ("sent", "recorded", "unknown"):
        assert not chart.has(state, "unsent")
        with pytest.raises(ChartError):
            chart.step(state, "released")


def test_a_broken_chart_reports_every_fault():
    text = 'initial = "x"\n[states.a]\non = { go = "b", stop = "c" }\n'
    with pytest.raises(ExceptionGroup) as caught:
        parse_chart("broken", text)
    assert len(caught.value.exceptions) == 3
