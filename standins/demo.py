"""``make demo``: a small Forge Works fleet, driven through a domain's absence."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from lycheetide.fleet import FailureDomain
from standins.callers import ask_prompt, book, count_runs, get_key, post
from standins.local import LocalFleet, make_forge_works
from standins.promises import find_broken, wait_memory_free

SIZES = ((1_000, "quote"), (10_000, "quote"), (100_000, "review"), (990_000, "archive"))
DEADLINE_S = 40.0
DOMAIN = "cork-b"
NOTICE_S = 3.0


def ask_mixed(fleet, pool, count):
    """Send prompts of all sizes through all nodes at once."""
    nodes = list(fleet.nodes.values())
    jobs = []
    for index in range(count):
        tokens, request_class = SIZES[0] if index % 6 else SIZES[1 + index // 6 % 3]
        jobs.append(
            pool.submit(
                ask_prompt, nodes[index % len(nodes)], tokens, seed=index,
                request_class=request_class, deadline_s=DEADLINE_S, max_tokens=8,
                customer=("kestrel", "parish")[index % 2],
            )
        )  # fmt: skip
    return [(SIZES[0][0] if i % 6 else SIZES[1 + i // 6 % 3][0], job)
            for i, job in enumerate(jobs)]  # fmt: skip


def show_rows(rows):
    """Print one line for each kind of request."""
    print(f"{'asked':34}{'sent':>6}{'answered':>10}{'first token, worst s':>22}")
    for name, answers in rows:
        answered = [a for a in answers if a.outcome == "answered"]
        worst_s = max((a.first_s or a.total_s for a in answered), default=0.0)
        print(f"{name:34}{len(answers):6}{len(answered):10}{worst_s:22.3f}")


def count_starts(fleet, domain):
    """Count the requests that a failure domain's engines have started."""
    names = [n for i, n in enumerate(fleet.engines) if f"cork-{'abc'[i % 3]}" == domain]
    return sum(len(fleet.record(name)["starts"]) for name in names)


def change_domain(fleet, state):
    """Publish a failure domain's state and wait until all nodes have it in force."""
    domain = FailureDomain(DOMAIN, "munster", state)
    fleet.publish([("failure_domains", DOMAIN, domain)])

    def in_force():
        return all(fleet.status(n)["config_version"] >= fleet.version
                   for n in fleet.nodes)  # fmt: skip

    return fleet.wait_for(in_force, what="the configuration everywhere")


def run(fleet, pool):
    """Drive the fleet; return rows to show and lines about broken promises."""
    broken = []
    nodes = list(fleet.nodes.values())
    mixed = [(tokens, job.result()) for tokens, job in ask_mixed(fleet, pool, 48)]
    rows = [
        (f"prompts of {size} tokens", [a for tokens, a in mixed if tokens == size])
        for size, _ in SIZES
    ]
    lookups = [
        post(nodes[i % 3], "/v1/services/booking/status", {"order": i})
        for i in range(6)
    ]
    rows.append(("order lookups", [replace(a, request_id="") for a in lookups]))
    keys = [get_key(nodes[i % 3]) for i in range(6)]
    deposits = list(pool.map(lambda i: book(nodes[i % 3], keys[i]), range(6)))
    repeated = list(pool.map(lambda i: book(nodes[(i + 1) % 3], keys[i]), range(6)))
    rows += [("deposits", deposits), ("deposits repeated elsewhere", repeated)]
    twice = [key for key in keys if count_runs(fleet, key) != 1]
    if twice:
        broken.append(f"deposits that did not run exactly once: {len(twice)}")
    if [a.body for a in deposits] != [a.body for a in repeated]:
        broken.append("a repeated deposit got another answer")
    taken_s = change_domain(fleet, "out")
    time.sleep(NOTICE_S)
    before = count_starts(fleet, DOMAIN)
    during = [(t, job.result()) for t, job in ask_mixed(fleet, pool, 24)]
    leaked = count_starts(fleet, DOMAIN) - before
    rows.append((f"prompts while {DOMAIN} is out", [a for _, a in during]))
    if leaked:
        broken.append(f"requests started in {DOMAIN} while it was out: {leaked}")
    back_s = change_domain(fleet, "in")
    after = [(t, job.result()) for t, job in ask_mixed(fleet, pool, 24)]
    rows.append((f"prompts after {DOMAIN} is back", [a for _, a in after]))
    answers = [a for _, a in mixed + during + after]
    unanswered = [a for a in answers if a.outcome != "answered"]
    broken += [f"unanswered: {a.outcome} {a.reason}" for a in unanswered]
    broken += find_broken(fleet, answers, deadline_s=DEADLINE_S)
    freed_s = wait_memory_free(fleet)
    print(f"{DOMAIN} out in force after {taken_s:.2f} s, back after {back_s:.2f} s;")
    print(f"all engines empty {freed_s:.2f} s after the last answer\n")
    return rows, broken


def main():
    """Run the demonstration; exit with 1 if a promise broke."""
    begun_s = time.monotonic()
    with LocalFleet() as fleet, ThreadPoolExecutor(48) as pool:
        make_forge_works(fleet, engines=6, nodes=3, prefill_tokens_per_s=1_000_000.0)
        ready_s = fleet.wait_ready()
        print(f"3 nodes, 6 engines, 3 booking replicas ready after {ready_s:.2f} s")
        rows, broken = run(fleet, pool)
    show_rows(rows)
    for line in broken:
        print(f"BROKEN: {line}")
    took_s = time.monotonic() - begun_s
    print(f"\n{len(broken)} promises broken; {took_s:.1f} s in all")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
