"""``make demo``: load on a small fleet while a failure domain is out of service."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from lycheetide.fleet import FailureDomain
from standins.callers import (
    book,
    count_runs,
    post,
    request_idempotency_key,
    send_prompt,
)
from standins.invariants import find_violations, wait_until_memory_free
from standins.local import LocalFleet, start_example_fleet

SIZES = ((1_000, "quote"), (10_000, "quote"), (100_000, "review"), (990_000, "archive"))
DEADLINE_S = 40.0
DOMAIN = "cork-b"
SETTLE_S = 3.0
"""Wait before requests that start in the domain taken out count as violations."""


def submit_mixed_prompts(fleet, pool, count):
    """Submit prompts of all sizes to all nodes; return each size with its future."""
    nodes = list(fleet.nodes.values())
    pending = []
    for index in range(count):
        tokens, request_class = SIZES[0] if index % 6 else SIZES[1 + index // 6 % 3]
        pending.append(
            pool.submit(
                send_prompt, nodes[index % len(nodes)], tokens, seed=index,
                request_class=request_class, deadline_s=DEADLINE_S, max_tokens=8,
                customer=("kestrel", "parish")[index % 2],
            )
        )  # fmt: skip
    return [(SIZES[0][0] if i % 6 else SIZES[1 + i // 6 % 3][0], future)
            for i, future in enumerate(pending)]  # fmt: skip


def print_results(rows):
    """Print a table with one line for each kind of request."""
    print(f"{'asked':34}{'sent':>6}{'answered':>10}{'max first token, s':>22}")
    for name, answers in rows:
        answered = [a for a in answers if a.outcome == "answered"]
        max_latency_s = max(
            (a.first_token_s or a.total_s for a in answered), default=0.0
        )
        print(f"{name:34}{len(answers):6}{len(answered):10}{max_latency_s:22.3f}")


def count_starts(fleet, domain):
    """Count the requests that a failure domain's engines have started."""
    names = [n for i, n in enumerate(fleet.engines) if f"cork-{'abc'[i % 3]}" == domain]
    return sum(len(fleet.record(name)["starts"]) for name in names)


def set_domain_state(fleet, state):
    """Publish a failure domain's state and wait until all nodes have applied it."""
    domain = FailureDomain(DOMAIN, "munster", state)
    fleet.publish([("failure_domains", DOMAIN, domain)])

    def is_in_force():
        return all(fleet.status(n)["config_version"] >= fleet.version
                   for n in fleet.nodes)  # fmt: skip

    return fleet.wait_for(is_in_force, what="the configuration on all nodes")


def run(fleet, pool):
    """Run the load; return the rows of the table and a line for each violation."""
    broken = []
    nodes = list(fleet.nodes.values())
    mixed = [
        (tokens, future.result())
        for tokens, future in submit_mixed_prompts(fleet, pool, 48)
    ]
    rows = [
        (f"prompts of {size} tokens", [a for tokens, a in mixed if tokens == size])
        for size, _ in SIZES
    ]
    lookups = [
        post(nodes[i % 3], "/v1/services/booking/status", {"order": i})
        for i in range(6)
    ]
    rows.append(("order lookups", [replace(a, request_id="") for a in lookups]))
    keys = [request_idempotency_key(nodes[i % 3]) for i in range(6)]
    deposits = list(pool.map(lambda i: book(nodes[i % 3], keys[i]), range(6)))
    repeated = list(pool.map(lambda i: book(nodes[(i + 1) % 3], keys[i]), range(6)))
    rows += [("deposits", deposits), ("deposits repeated elsewhere", repeated)]
    twice = [key for key in keys if count_runs(fleet, key) != 1]
    if twice:
        broken.append(f"deposits that did not run exactly once: {len(twice)}")
    if [a.body for a in deposits] != [a.body for a in repeated]:
        broken.append("a repeated deposit got a different response")
    out_s = set_domain_state(fleet, "out")
    time.sleep(SETTLE_S)
    before = count_starts(fleet, DOMAIN)
    during = [
        (t, future.result()) for t, future in submit_mixed_prompts(fleet, pool, 24)
    ]
    leaked = count_starts(fleet, DOMAIN) - before
    rows.append((f"prompts while {DOMAIN} is out", [a for _, a in during]))
    if leaked:
        broken.append(f"requests started in {DOMAIN} while it was out: {leaked}")
    in_s = set_domain_state(fleet, "in")
    after = [
        (t, future.result()) for t, future in submit_mixed_prompts(fleet, pool, 24)
    ]
    rows.append((f"prompts after {DOMAIN} is back", [a for _, a in after]))
    answers = [a for _, a in mixed + during + after]
    unanswered = [a for a in answers if a.outcome != "answered"]
    broken += [f"unanswered: {a.outcome} {a.reason}" for a in unanswered]
    broken += find_violations(fleet, answers, deadline_s=DEADLINE_S)
    freed_s = wait_until_memory_free(fleet)
    print(f"{DOMAIN} out on all nodes after {out_s:.2f} s, in after {in_s:.2f} s;")
    print(f"all KV memory free {freed_s:.2f} s after the last response\n")
    return rows, broken


def main():
    """Run the demonstration; exit with status 1 if a guarantee was violated."""
    start_s = time.monotonic()
    with LocalFleet() as fleet, ThreadPoolExecutor(48) as pool:
        start_example_fleet(fleet, engines=6, nodes=3, prefill_tokens_per_s=1_000_000.0)
        ready_s = fleet.wait_ready()
        print(f"3 nodes, 6 engines, 3 booking replicas ready after {ready_s:.2f} s")
        rows, broken = run(fleet, pool)
    print_results(rows)
    for line in broken:
        print(f"VIOLATION: {line}")
    elapsed_s = time.monotonic() - start_s
    print(f"\n{len(broken)} violations; total time {elapsed_s:.1f} s")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
