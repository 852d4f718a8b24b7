"""The charts are consistent, and invalid charts report all their errors."""

import pytest

from lycheetide.charts import StateChartError, load_chart
from lycheetide.charts._chart import parse_chart

CHART_NAMES = ("booking", "domain", "node", "request", "upstream")


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_state_is_reachable(name):
    chart = load_chart(name)
    reached = {chart.initial}
    for _ in chart.transitions:
        reached |= {t for (s, _), t in chart.transitions.items() if s in reached}
    states = {s for s, _ in chart.transitions} | set(chart.transitions.values())
    assert states <= reached


def test_sent_request_is_never_unsent():
    """After a broken attempt, a request that was sent waits for another attempt.

    Its outcome must not be reported as "not run" then. The states after sending are not
    flagged "unsent", and the run keeps the fact that the request was sent.
    """
    chart = load_chart("request")
    assert not chart.has_flag("sent", "unsent")
    assert not chart.has_flag("answering", "unsent")


def test_sent_booking_is_never_released():
    chart = load_chart("booking")
    for state in ("sent", "recorded", "unknown"):
        assert not chart.has_flag(state, "unsent")
        with pytest.raises(StateChartError):
            chart.next_state(state, "released")


def test_invalid_chart_reports_all_errors():
    text = 'initial = "x"\n[states.a]\non = { go = "b", stop = "c" }\n'
    with pytest.raises(ExceptionGroup) as caught:
        parse_chart("broken", text)
    assert len(caught.value.exceptions) == 3
