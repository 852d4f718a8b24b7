"""Compute the table in docs/CAPACITY.md from the measured slopes.

``python -m benchmarks.capacity`` prints the table; ``--write`` puts it into the page. A
test checks that the page holds the table that this script computes.
"""

import argparse
import json
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONTROL_RESULTS = ROOT / "benchmarks" / "results" / "control.json"
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
TABLE_BEGIN = "<!-- table: made by benchmarks/capacity.py -->"
TABLE_END = "<!-- end of table -->"


@dataclass(frozen=True)
class DeploymentSize:
    """The deployment size to design for, and the settings of its nodes."""

    nodes: int = 950
    regions: int = 10
    replicas: int = 12_000
    models: int = 25
    requests_per_s: float = 27_000.0
    tokens_per_s: float = 7_200_000.0
    changes_per_s: float = 100_000 / 86_400
    bookings_share: float = 0.01
    replicas_per_cell: int = 8
    report_interval_s: float = 3.0
    reclaim_interval_s: float = 20.0
    heartbeat_interval_s: float = 3.0
    heartbeat_fanout: int = 2
    log_streams_followed: int = 2
    log_wait_s: float = 5.0
    report_bytes: int = 600
    log_read_bytes: int = 700
    holdings_bytes: int = 1_200


CPU_LIMIT_MS = 36.0
BYTES_LIMIT = 7_000
MEMORY_LIMIT_MB = 256


@dataclass(frozen=True)
class TableRow:
    """A row of the table: what a node spends on one activity per second."""

    role: str
    what: str
    per_s: float
    cpu_ms: float
    bytes_per_s: float
    is_control: bool = True


def list_rows(measured, size):
    """Yield the rows of the table.

    Parameters
    ----------
    measured : dict
        Results of ``benchmarks.control``.
    size : DeploymentSize
        The deployment.

    Yields
    ------
    TableRow
        Cost for one node per second.
    """
    calls = measured["processes"]["calls"]
    members = size.nodes / size.regions
    replicas = size.replicas / size.nodes

    def evaluate_fit(name, value):
        return measured[name]["slope"] * value + measured[name]["start"]

    reports = replicas / size.report_interval_s
    yield TableRow(
        "owner", "load reports", reports, reports * calls["report_us"] / 1e3,
        reports * size.report_bytes,
    )  # fmt: skip
    comparisons = replicas / size.reclaim_interval_s
    yield TableRow(
        "owner", "holdings compared", comparisons,
        comparisons * calls["holdings_us"] / 1e3, comparisons * size.holdings_bytes,
    )  # fmt: skip
    heartbeats = size.heartbeat_fanout / size.heartbeat_interval_s
    heartbeat_us = (
        evaluate_fit("heartbeat_answer_fit", members)
        + evaluate_fit("heartbeat_read_fit", members)
        + 2 * calls["peer_call_us"]
    )
    yield TableRow(
        "member", f"heartbeats, asked and answered, {members:.0f} rows", 2 * heartbeats,
        heartbeats * heartbeat_us / 1e3,
        2 * heartbeats * evaluate_fit("heartbeat_bytes_fit", members),
    )  # fmt: skip
    log_reads = size.log_streams_followed / size.log_wait_s + size.changes_per_s
    yield TableRow(
        "member", "reads of the log", log_reads, log_reads * calls["log_read_us"] / 1e3,
        log_reads * size.log_read_bytes,
    )  # fmt: skip
    fold_us = evaluate_fit("fold_fit", size.replicas) + evaluate_fit(
        "index_fit", size.replicas
    )
    yield TableRow(
        "member", f"changes folded into {size.replicas} replicas", size.changes_per_s,
        size.changes_per_s * fold_us / 1e3, 0.0,
    )  # fmt: skip
    requests = size.requests_per_s / size.nodes
    cells = size.replicas / size.regions / size.models / size.replicas_per_cell
    decision_us = (
        evaluate_fit("decision_fit", size.replicas_per_cell)
        + evaluate_fit("routing_fit", cells)
        + 4 * calls["peer_call_us"]
    )
    yield TableRow(
        "owner and entry", "permits: asked, decided, ended", requests,
        requests * decision_us / 1e3, requests * 900, False,
    )  # fmt: skip
    bookings = requests * size.bookings_share
    yield TableRow(
        "entry", "bookings: append and read", bookings,
        bookings * (calls["log_append_us"] + calls["log_read_us"]) / 1e3,
        bookings * 2_000, False,
    )  # fmt: skip
    node = measured["processes"]["3 nodes"]
    yield TableRow(
        "entry", "requests", requests, requests * node["request_us"] / 1e3, 0.0, False
    )
    tokens = size.tokens_per_s / size.nodes
    yield TableRow(
        "entry", "tokens streamed", tokens, tokens * node["token_us"] / 1e3, 0.0, False
    )


def make_table(measured, size=None):
    """Return the table as Markdown."""
    size = size or DeploymentSize()
    lines = list(list_rows(measured, size))
    control = [line for line in lines if line.is_control]
    cpu_ms = sum(line.cpu_ms for line in control)
    serving_ms = sum(line.cpu_ms for line in lines if not line.is_control)
    sent = sum(line.bytes_per_s for line in control)
    memory_mb = (
        measured["processes"]["9 nodes"]["memory_mb"]
        + 2 * (measured["held_bytes_fit"]["slope"] * size.replicas
               + measured["held_bytes_fit"]["start"]) / 1e6
    )  # fmt: skip
    rows = [
        "| role | what | a second | CPU, ms a second | bytes a second |",
        "|---|---|---:|---:|---:|",
    ]
    rows += [
        f"| {line.role} | {line.what} | {line.per_s:.2f} | {line.cpu_ms:.1f} "
        f"| {line.bytes_per_s:.0f} |"
        for line in lines
    ]
    rows += [
        "",
        f"Control (the first {len(control)} lines): **{cpu_ms:.1f} ms** of CPU a "
        f"second (limit {CPU_LIMIT_MS:.0f}), **{sent:.0f} bytes** a second "
        f"(limit {BYTES_LIMIT}), **{memory_mb:.0f} MB** (limit {MEMORY_LIMIT_MB}).",
        "",
        f"Serving: **{serving_ms:.0f} ms** of CPU a second; a node process has 1000.",
    ]
    return "\n".join(rows)


def replace_table(page, table):
    """Return the page with the table replaced."""
    head, _, after_begin = page.partition(TABLE_BEGIN)
    _, _, tail = after_begin.partition(TABLE_END)
    return f"{head}{TABLE_BEGIN}\n\n{table}\n\n{TABLE_END}{tail}"


def main():
    """Print the table, or write it into the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    table = make_table(json.loads(CONTROL_RESULTS.read_text()))
    if args.write:
        CAPACITY_PAGE.write_text(replace_table(CAPACITY_PAGE.read_text(), table))
    else:
        print(table)


if __name__ == "__main__":
    main()
