"""Resource usage, summed up from logs whose usage is known."""

from types import SimpleNamespace

from lycheetide.losses import (
    format_summary,
    format_usage,
    read_events,
    save_usage_plot,
    sum_usage,
    summarize,
)
from lycheetide.losses.tests.test_account import make_end, make_line
from lycheetide.relay._usage import LOG_INTERVAL_S, UsageCounter
from standins.large import make_large_relay


def make_usage_line(at_s, node, peak_mb=25.0, **amounts):
    used = {reason.replace("__", "."): amount for reason, amount in amounts.items()}
    return make_line(
        at_s, "What was used.", node=node, used=used, span_ms=10_000, peak_mb=peak_mb
    )


LOGS = (
    [
        make_usage_line(11, "n1", store__registry__read=20, bytes__far__work=900),
        make_usage_line(21, "n1", 27.0, store__registry__read=22, connections=3),
    ],
    [make_usage_line(12, "n2", 31.0, store__operator__wait=2, bytes__far__work=1_100)],
)


def test_usage_is_summed_by_resource_node_and_window():
    prices = sum_usage(read_events(LOGS))
    assert prices.totals == {
        "store.registry.read": 42, "store.operator.wait": 2, "bytes.far.work": 2_000,
        "connections": 3,
    }  # fmt: skip
    assert prices.busiest["bytes.far.work"] == ("n2", 1_100)
    assert (prices.nodes, prices.peak_mb, prices.mean_peak_mb) == (2, 31.0, 29.0)
    first, second = prices.windows.values()
    assert first["store.registry.read"] == 20
    assert second == {"store.registry.read": 22, "connections": 3}


def test_table_names_node_with_highest_usage():
    lines = list(format_usage(sum_usage(read_events(LOGS))))
    (row,) = [line for line in lines if "store.registry.read" in line]
    assert row.split() == ["store.registry.read", "42", "most", "42", "by", "n1"]


def test_logs_without_usage_give_empty_table(tmp_path):
    """Logs can end before the first usage line; the command must not fail on them."""
    prices = sum_usage(read_events([[make_line(1, "The node has started.")]]))
    assert next(format_usage(prices)).startswith("0 nodes")
    save_usage_plot(prices, str(tmp_path / "empty.png"))


def test_usage_plot_is_png(tmp_path):
    path = tmp_path / "prices.png"
    save_usage_plot(sum_usage(read_events(LOGS)), str(path))
    assert path.read_bytes().startswith(b"\x89PNG")


def test_failed_probes_are_not_losses():
    """Counted as losses, sixty configuration probes hid twenty lost caller requests."""
    lines = [
        make_end(2.0, "a", "refused.504.deadline", route="probe"),
        make_end(3.0, "b", "refused.504.deadline", route="quick"),
        make_end(4.0, "c"),
    ]
    summary = summarize(read_events([lines]), probes=frozenset({"probe"}))
    assert (summary.lost, summary.probed, summary.requests) == (1, 1, 3)
    assert "1 failed probes" in list(format_summary(summary))[1]
    assert summary.causes == summarize(read_events([lines[1:]])).causes


def test_nodes_log_usage_periodically_and_at_exit():
    """The number of log lines must not grow with the load, as one per call would."""
    relay = make_large_relay(2, 1)
    lines = []
    relay.log = SimpleNamespace(info=lambda text, extra: lines.append((text, extra)))
    used = UsageCounter(now_s=0.0)
    used.add("store.registry.read", 2)
    used.log(relay, now_s=LOG_INTERVAL_S / 2)
    assert lines == []
    used.add("store.registry.read")
    used.log(relay, now_s=LOG_INTERVAL_S + 0.1)
    used.log(relay, now_s=LOG_INTERVAL_S + 0.2, is_last=True)
    (_, first), (_, last) = lines
    assert first["used"]["store.registry.read"] == 3
    assert "store.registry.read" not in last["used"]
    assert relay.counters.counts["used.store.registry.read"] == 3
    assert first["peak_mb"] > 1
