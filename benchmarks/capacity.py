"""Work out docs/CAPACITY.md's table from the measured slopes.

``python -m benchmarks.capacity`` prints it; ``--write`` puts it into the page. A test
holds the page and this script together.
"""

import argparse
import json
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONTROL = ROOT / "benchmarks" / "results" / "control.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- table: made by benchmarks/capacity.py -->"
END = "<!-- end of table -->"


@dataclass(frozen=True)
class Size:
    """The size to design for, and the settings that a node would get there."""

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
class Line:
    """One line of the table: what a node spends on one thing each second."""

    role: str
    what: str
    per_s: float
    cpu_ms: float
    bytes_per_s: float
    is_control: bool = True


def list_lines(measured, size):
    """Yield the table's lines.

    Parameters
    ----------
    measured : dict
        What ``benchmarks.control`` wrote.
    size : Size
        The size.

    Yields
    ------
    Line
        For one node and second.
    """
    calls = measured["processes"]["calls"]
    members = size.nodes / size.regions
    replicas = size.replicas / size.nodes

    def at(name, value):
        return measured[name]["slope"] * value + measured[name]["start"]

    reports = replicas / size.report_interval_s
    yield Line(
        "owner", "load reports", reports, reports * calls["report_us"] / 1e3,
        reports * size.report_bytes,
    )  # fmt: skip
    looks = replicas / size.reclaim_interval_s
    yield Line(
        "owner", "holdings compared", looks, looks * calls["holdings_us"] / 1e3,
        looks * size.holdings_bytes,
    )  # fmt: skip
    beats = size.heartbeat_fanout / size.heartbeat_interval_s
    beat_us = (
        at("heartbeat_answer_fit", members)
        + at("heartbeat_read_fit", members)
        + 2 * calls["peer_call_us"]
    )
    yield Line(
        "member", f"heartbeats, asked and answered, {members:.0f} rows", 2 * beats,
        beats * beat_us / 1e3, 2 * beats * at("heartbeat_bytes_fit", members),
    )  # fmt: skip
    reads = size.log_streams_followed / size.log_wait_s + size.changes_per_s
    yield Line(
        "member", "reads of the log", reads, reads * calls["log_read_us"] / 1e3,
        reads * size.log_read_bytes,
    )  # fmt: skip
    fold_us = at("fold_fit", size.replicas) + at("index_fit", size.replicas)
    yield Line(
        "member", f"changes folded into {size.replicas} replicas", size.changes_per_s,
        size.changes_per_s * fold_us / 1e3, 0.0,
    )  # fmt: skip
    requests = size.requests_per_s / size.nodes
    cells = size.replicas / size.regions / size.models / size.replicas_per_cell
    decision_us = (
        at("decision_fit", size.replicas_per_cell)
        + at("routing_fit", cells)
        + 4 * calls["peer_call_us"]
    )
    yield Line(
        "owner and entry", "permits: asked, decided, ended", requests,
        requests * decision_us / 1e3, requests * 900, False,
    )  # fmt: skip
    bookings = requests * size.bookings_share
    yield Line(
        "entry", "bookings: append and read", bookings,
        bookings * (calls["log_append_us"] + calls["log_read_us"]) / 1e3,
        bookings * 2_000, False,
    )  # fmt: skip
    node = measured["processes"]["3 nodes"]
    yield Line(
        "entry", "requests", requests, requests * node["request_us"] / 1e3, 0.0, False
    )
    tokens = size.tokens_per_s / size.nodes
    yield Line(
        "entry", "tokens streamed", tokens, tokens * node["token_us"] / 1e3, 0.0, False
    )


def make_table(measured, size=None):
    """Return the table as Markdown."""
    size = size or Size()
    lines = list(list_lines(measured, size))
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
    """Return the page with its table replaced."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{table}\n\n{END}{tail}"


def main():
    """Print the table, or write it into the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    table = make_table(json.loads(CONTROL.read_text()))
    if args.write:
        PAGE.write_text(replace_table(PAGE.read_text(), table))
    else:
        print(table)


if __name__ == "__main__":
    main()
