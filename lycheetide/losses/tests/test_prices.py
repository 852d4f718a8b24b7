"""Logs of which it is known what was used."""

from types import SimpleNamespace

from lycheetide.losses import (
    print_prices,
    print_summary,
    read_events,
    save_price_plot,
    sum_prices,
    summarize,
)
from lycheetide.losses.tests.test_account import make_end, make_line
from lycheetide.relay._used import LOG_S, Used
from standins.large import make_large_relay


def make_used(at_s, node, peak_mb=25.0, **amounts):
    used = {reason.replace("__", "."): amount for reason, amount in amounts.items()}
    return make_line(
        at_s, "What was used.", node=node, used=used, span_ms=10_000, peak_mb=peak_mb
    )


LOGS = (
    [
        make_used(11, "n1", store__registry__read=20, bytes__far__work=900),
        make_used(21, "n1", 27.0, store__registry__read=22, connections=3),
    ],
    [make_used(12, "n2", 31.0, store__operator__wait=2, bytes__far__work=1_100)],
)


def test_what_was_used_is_summed_by_reason_node_and_time():
    prices = sum_prices(read_events(LOGS))
    assert prices.totals == {
        "store.registry.read": 42, "store.operator.wait": 2, "bytes.far.work": 2_000,
        "connections": 3,
    }  # fmt: skip
    assert prices.busiest["bytes.far.work"] == ("n2", 1_100)
    assert (prices.nodes, prices.peak_mb, prices.mean_peak_mb) == (2, 31.0, 29.0)
    first, second = prices.windows.values()
    assert first["store.registry.read"] == 20
    assert second == {"store.registry.read": 22, "connections": 3}


def test_the_table_names_who_used_most():
    lines = list(print_prices(sum_prices(read_events(LOGS))))
    (row,) = [line for line in lines if "store.registry.read" in line]
    assert row.split() == ["store.registry.read", "42", "most", "42", "by", "n1"]


def test_logs_without_a_line_of_it_give_an_empty_table(tmp_path):
    """Logs end before the first line, and the command fails instead of saying so."""
    prices = sum_prices(read_events([[make_line(1, "The node has started.")]]))
    assert next(print_prices(prices)).startswith("0 nodes")
    save_price_plot(prices, str(tmp_path / "empty.png"))


def test_the_plot_is_a_picture(tmp_path):
    path = tmp_path / "prices.png"
    save_price_plot(sum_prices(read_events(LOGS)), str(path))
    assert path.read_bytes().startswith(b"\x89PNG")


def test_requests_that_only_probe_are_no_losses():
    """Sixty probes of a configuration hid the twenty requests that callers lost."""
    lines = [
        make_end(2.0, "a", "refused.504.deadline", route="probe"),
        make_end(3.0, "b", "refused.504.deadline", route="quick"),
        make_end(4.0, "c"),
    ]
    summary = summarize(read_events([lines]), probes=frozenset({"probe"}))
    assert (summary.lost, summary.probed, summary.requests) == (1, 1, 3)
    assert "1 probes" in list(print_summary(summary))[1]
    assert summary.causes == summarize(read_events([lines[1:]])).causes


def test_nodes_log_what_they_used_now_and_then_and_at_their_end():
    """A line for each call would grow with the load."""
    relay = make_large_relay(2, 1)
    lines = []
    relay.log = SimpleNamespace(info=lambda text, extra: lines.append((text, extra)))
    used = Used(now_s=0.0)
    used.add("store.registry.read", 2)
    used.log(relay, now_s=LOG_S / 2)
    assert lines == []
    used.add("store.registry.read")
    used.log(relay, now_s=LOG_S + 0.1)
    used.log(relay, now_s=LOG_S + 0.2, is_last=True)
    (_, first), (_, last) = lines
    assert first["used"]["store.registry.read"] == 3
    assert "store.registry.read" not in last["used"]
    assert relay.counters.counts["used.store.registry.read"] == 3
    assert first["peak_mb"] > 1
