"""Measure the cost of the control plane at several sizes, and fit straight lines.

Costs are the CPU time of this process, or of a node process as the kernel accounts for
it, and never wall time. Each figure is the median of several rounds. The results are
written to ``results/control.json``.
"""

import json
import os
import platform
import statistics
import time
import tracemalloc
from pathlib import Path

import anyio
import numpy as np

from benchmarks.policy import describe_commit
from lycheetide.bookings import Claim, make_claim_record, resolve_claim
from lycheetide.fleet import (
    ConfigState,
    FailureDomain,
    Model,
    Upstream,
    fold,
    make_change_record,
)
from lycheetide.membership import (
    CellSummary,
    Evidence,
    Member,
    MemberRow,
    Membership,
    make_view_record,
)
from lycheetide.node._state import make_cell_index
from lycheetide.peers import ConfigRequest, PeerClient, PullReply
from lycheetide.peers._codec import encode, make_decoder
from lycheetide.platformlog import LogClient
from lycheetide.routing import rank_cells
from lycheetide.scheduling import Cell, LoadReport, Ticket
from lycheetide.upstreams import fetch_holdings, fetch_report, make_http_client
from standins.callers import make_headers, send_prompt
from standins.local import LocalFleet, start_example_fleet

RESULTS = Path(__file__).resolve().parent / "results" / "control.json"
ROUNDS = 5
DOMAIN = FailureDomain("d-0", "r-0")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def measure_cpu_us(function, repeats):
    """Return the CPU time of one call in microseconds, as the median of the rounds."""
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(repeats):
            function()
        rounds.append((time.process_time() - start_s) / repeats * 1e6)
    return statistics.median(rounds)


def fit(sizes, costs):
    """Fit a straight line; return its slope, intercept and explained variance."""
    slope, start = np.polyfit(sizes, costs, 1)
    residuals = np.array(costs) - (slope * np.array(sizes) + start)
    variance = float(np.var(costs))
    explained = 1.0 - float(np.var(residuals)) / variance if variance else 1.0
    return {"slope": float(slope), "start": float(start), "explained": explained}


def make_upstreams(count, replicas_per_cell=8, models=25):
    """Return replicas of ``models`` models, 25 by default, grouped into cells."""
    return [
        Upstream(
            f"u{i:05d}", "engine", f"m{i % models}", "d-0", f"http://10.0.{i % 250}.1",
            f"m{i % models}.r-0.{i // models // replicas_per_cell}",
        )
        for i in range(count)
    ]  # fmt: skip


def make_ticket(number, now_s):
    """Return the ticket of a short request."""
    return Ticket(
        f"t{number}", "n", f"r{number}", f"k{number % 240}", "quote", 0, 20.0, 1.0,
        3_000, 200, f"k/{number % 50}", now_s, now_s, now_s + 60.0,
    )  # fmt: skip


def measure_decision(replicas):
    """Return the cost of one request at a cell: ask, schedule and finish.

    One request fewer than the cell has replicas runs there meanwhile.
    """
    cell = Cell("c", owner_id="n")
    cell.is_settled = True
    upstreams = make_upstreams(replicas, replicas_per_cell=replicas, models=1)
    cell.apply_upstreams(upstreams, {"d-0": DOMAIN}, now_s=0.0)
    clock = [1.0]
    number = [0]

    def report_all():
        clock[0] += 0.01
        for upstream in upstreams:
            report = LoadReport("b", True, kv_capacity_tokens=400_000)
            cell.apply_report(upstream.name, report, asked_s=clock[0], now_s=clock[0])

    def decide_one():
        number[0] += 1
        clock[0] += 0.001
        if number[0] % replicas == 0:
            report_all()
        cell.enqueue(make_ticket(number[0], clock[0]), now_s=clock[0])
        cell.schedule(now_s=clock[0])
        while len(cell.permits) >= replicas:
            cell.finish(next(iter(cell.permits)))

    for _ in range(8):
        report_all()
    measure_cpu_us(decide_one, 100)
    return measure_cpu_us(decide_one, 300)


def measure_routing(cells):
    """Return the cost of ranking the cells of a model at an entry node."""
    names = [f"c{i}" for i in range(cells)]
    summaries = {
        name: CellSummary(name, 1_000, 5_000, 6_000, 400_000.0, 20) for name in names
    }
    return measure_cpu_us(
        lambda: rank_cells(
            names, summaries, prefix_key="k/7", prompt_tokens=3_000, draw=lambda: 0.5
        ),
        300,
    )


def make_rows(members, cells_per_member):
    """Return the rows that a node sends about the members it knows."""
    return tuple(
        MemberRow(
            Member(f"entry-{i:03d}", f"{i:016x}", f"10.0.0.{i % 250}:9001", "cork-a"),
            i, "serving", 17, 17, 40_000,
            tuple(
                CellSummary(f"m{i % 25}.r-0.{j}", 12_000, 40_000, 9_000, 400_000.0, 90)
                for j in range(cells_per_member)
            ),
        )
        for i in range(members)
    )  # fmt: skip


def measure_heartbeat(members):
    """Return the cost of both ends of a heartbeat.

    One end makes and encodes the rows, the other decodes and merges them.
    """
    rows = make_rows(members, 2)
    own = Member("own", "x", "10.0.0.1:1", "cork-a")
    membership = Membership(own, lease_s=2.0, suspect_s=2.0)
    record = make_view_record(
        "v", base_number=0, members=[own, *[row.member for row in rows]]
    )
    membership.apply_record(0, record, now_s=0.0)
    membership.evidence = {row.member.member_id: Evidence(0.0, row) for row in rows}
    decode = make_decoder(PullReply)
    content = encode(PullReply(rows))
    repeats = max(3, 2_000 // members)

    def answer():
        own_rows = membership.make_rows(
            state="serving", config_version=1, cells=(), now_s=0.5
        )
        encode(PullReply(tuple(own_rows)))

    def read():
        membership.apply_rows(decode(content).rows, asked_s=0.5, now_s=0.5)

    return {
        "answer_us": measure_cpu_us(answer, repeats),
        "read_us": measure_cpu_us(read, repeats),
        "reply_bytes": len(content),
    }


def measure_fold(replicas):
    """Return the cost of folding a change into a configuration of ``replicas``.

    The change has one entry.
    """
    upstreams = make_upstreams(replicas)
    changes = [("failure_domains", "d-0", DOMAIN)]
    changes += [("models", f"m{i}", Model(f"m{i}")) for i in range(25)]
    changes += [("upstreams", u.name, u) for u in upstreams]
    record = make_change_record("0", author="a", base_version=0, changes=changes)
    state, verdict = fold(ConfigState(), 0, record)
    assert verdict.accepted, verdict.findings[:3]
    change = make_change_record(
        "1", author="a", base_version=1,
        changes=[("upstreams", upstreams[0].name, upstreams[0])],
    )  # fmt: skip
    repeats = max(2, 2_000 // replicas)
    tracemalloc.start()
    held, _ = fold(ConfigState(), 0, record)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held.version == 1
    return {
        "held_bytes": held_bytes,
        "index_us": measure_cpu_us(
            lambda: make_cell_index(state.fleet, "r-0"), repeats
        ),
        "fold_us": measure_cpu_us(lambda: fold(state, 1, change), repeats),
        "record_bytes": len(encode(change)),
    }


def measure_claims(records):
    """Return the cost of deciding a booking.

    ``records`` is the number of log records since the booking's key was created.
    """
    claim = Claim("c", "key", "n", "h")
    rows = [
        (i, make_claim_record(Claim(f"c{i}", f"other{i}", "n", "h")))
        for i in range(records)
    ] + [(records, make_claim_record(claim))]
    return measure_cpu_us(
        lambda: resolve_claim(rows, claim, issue_offset=0, first_retained=0), 50
    )


async def measure_calls(fleet):
    """Return the CPU time of small calls at the caller, against stand-ins."""
    engine = next(iter(fleet.engines.values()))
    upstream = Upstream("e", "engine", "m", "d", engine.url, "c")
    http = make_http_client(connect_s=1.0)
    log = LogClient(http, fleet.platform.url)

    async def measure_call_us(call, repeats=150):
        rounds = []
        for _ in range(ROUNDS):
            start_s = time.process_time()
            for _ in range(repeats):
                await call()
            rounds.append((time.process_time() - start_s) / repeats * 1e6)
        return statistics.median(rounds)

    async def report():
        await fetch_report(http, upstream)

    async def holdings():
        await fetch_holdings(http, upstream)

    async def read_log():
        await log.read("config", 10**6)

    peers = PeerClient()
    peer_address = next(iter(fleet.nodes.values())).peer_address

    async def call_peer():
        request = ConfigRequest(10**9)
        await peers.call(peer_address, "fetch_config", request, timeout_s=2.0)

    async def append_log():
        await log.append("trial", [{"kind": "claim", "id": "x" * 16}])

    return {
        "peer_call_us": await measure_call_us(call_peer),
        "report_us": await measure_call_us(report),
        "holdings_us": await measure_call_us(holdings),
        "log_read_us": await measure_call_us(read_log),
        "log_append_us": await measure_call_us(append_log),
    }


def read_cpu_s(process):
    """Return the CPU time that a process has used, as the kernel accounts for it."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def read_memory_mb(process):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_node(fleet):
    """Return the CPU time of a node: idle, per request and per streamed token."""
    name, node = next(iter(fleet.nodes.items()))
    calls = fleet.status(name)["peer_calls"]
    start_s = read_cpu_s(node)
    time.sleep(10.0)
    idle_share = (read_cpu_s(node) - start_s) / 10.0
    calls_after = fleet.status(name)["peer_calls"]
    costs = {}
    for tokens in (1, 400):
        start_s = read_cpu_s(node)
        start_wall_s = time.monotonic()
        for seed in range(60):
            answer = send_prompt(node, 1_000, max_tokens=tokens, seed=seed)
            assert answer.whole
        wall_s = time.monotonic() - start_wall_s
        costs[tokens] = (read_cpu_s(node) - start_s - idle_share * wall_s) / 60
    per_token = (costs[400] - costs[1]) / 399
    return {
        "nodes": len(fleet.nodes),
        "idle_core_share": idle_share,
        "idle_peer_calls_per_s": (sum(calls_after.values()) - sum(calls.values())) / 10,
        "request_us": (costs[1] - per_token) * 1e6,
        "token_us": per_token * 1e6,
        "memory_mb": read_memory_mb(node),
    }


def measure_added_time(fleet):
    """Return the time of a short request sent directly and through a node."""
    node = next(iter(fleet.nodes.values()))
    engine = next(iter(fleet.engines.values()))
    direct, through_node = [], []
    for seed in range(60):
        start_s = time.monotonic()
        asked = {
            "model": "assistant", "max_tokens": 1, "stream": True,
            "prompt": f"{seed:04d}" + "abcd" * 999,
        }  # fmt: skip
        url = f"{node.url}/v1/completions"
        fleet.http.post(url, json=asked, headers=make_headers()).raise_for_status()
        through_node.append(time.monotonic() - start_s)
        start_s = time.monotonic()
        body = {
            "request_id": f"d{seed}", "attempt_id": f"a{seed}", "max_tokens": 1,
            "prompt": "abcd" * 1_000, "stream": True,
        }  # fmt: skip
        fleet.http.post(f"{engine.url}/v1/completions", json=body)
        direct.append(time.monotonic() - start_s)
    return {
        "direct_ms": statistics.median(direct) * 1e3,
        "through_node_ms": statistics.median(through_node) * 1e3,
    }


def measure_processes():
    """Measure real node processes in front of stand-in back ends."""
    measured = {}
    for nodes in (3, 9):
        with LocalFleet() as fleet:
            start_example_fleet(
                fleet, engines=6, nodes=nodes, decode_s=0.0005,
                prefill_tokens_per_s=10_000_000.0,
            )  # fmt: skip
            fleet.wait_ready(timeout_s=40.0)
            measured[f"{nodes} nodes"] = measure_node(fleet)
            if nodes == 3:
                measured["calls"] = anyio.run(measure_calls, fleet)
                measured["added time"] = measure_added_time(fleet)
    return measured


def main():
    """Measure everything and write the results."""
    replicas = (100, 1_000, 12_000)
    members = (9, 50, 95, 200, 950)
    heartbeats = {size: measure_heartbeat(size) for size in members}
    folds = {size: measure_fold(size) for size in replicas}
    decisions = {size: measure_decision(size) for size in (4, 8, 16, 24)}
    cells = {size: measure_routing(size) for size in (3, 6, 25, 60)}
    claims = {size: measure_claims(size) for size in (10, 100, 1_000)}
    document = {
        "commit": describe_commit(),
        "machine": f"{platform.machine()}, CPython {platform.python_version()}",
        "decision_us_by_replicas_in_cell": decisions,
        "decision_fit": fit(list(decisions), list(decisions.values())),
        "routing_us_by_cells_of_model": cells,
        "routing_fit": fit(list(cells), list(cells.values())),
        "heartbeat_by_members": heartbeats,
        "heartbeat_answer_fit": fit(
            list(heartbeats), [b["answer_us"] for b in heartbeats.values()]
        ),
        "heartbeat_read_fit": fit(
            list(heartbeats), [b["read_us"] for b in heartbeats.values()]
        ),
        "heartbeat_bytes_fit": fit(
            list(heartbeats), [b["reply_bytes"] for b in heartbeats.values()]
        ),
        "fold_by_replicas": folds,
        "held_bytes_fit": fit(list(folds), [f["held_bytes"] for f in folds.values()]),
        "index_fit": fit(list(folds), [f["index_us"] for f in folds.values()]),
        "fold_fit": fit(list(folds), [f["fold_us"] for f in folds.values()]),
        "claims_us_by_records": claims,
        "claims_fit": fit(list(claims), list(claims.values())),
        "processes": measure_processes(),
    }
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")
    print(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
