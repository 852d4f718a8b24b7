"""``python -m soak``: run fresh or given seeds and print violated guarantees."""

import argparse
import time

import anyio

from soak.run import (
    BURST_COUNT,
    DEMAND_COUNT,
    FAULT_COUNT,
    FAULT_PHASE_S,
    LINK_CUT_COUNT,
    LOSS_COUNT,
    ODDITY_COUNT,
    QUIET_COUNT,
    run_soak,
)

MAX_LINES_SHOWN = 12


def main():
    """Execute the runs one after another; exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument(
        "--first", type=int, help="first seed; defaults to the current time"
    )
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=FAULT_PHASE_S)
    parser.add_argument("--faults", type=int, default=FAULT_COUNT)
    parser.add_argument("--quiets", type=int, default=QUIET_COUNT)
    parser.add_argument("--demands", type=int, default=DEMAND_COUNT)
    parser.add_argument("--link-cuts", type=int, default=LINK_CUT_COUNT)
    parser.add_argument("--bursts", type=int, default=BURST_COUNT)
    parser.add_argument("--losses", type=int, default=LOSS_COUNT)
    parser.add_argument("--oddities", type=int, default=ODDITY_COUNT)
    parser.add_argument(
        "--sound", action="store_true", help="send no requests that crash replicas"
    )
    parser.add_argument("--nodes", type=int, default=4)
    args = parser.parse_args()
    first = int(time.time()) if args.first is None else args.first
    failed = 0
    for seed in range(first, first + args.seeds):
        result = anyio.run(run_seed, seed, args)
        failed += bool(result.broken)
        print(
            f"seed {seed}: {result.served} of {result.attempts} attempts succeeded,"
            f" {len(result.broken)} violations",
            flush=True,
        )
        for line in result.broken[:MAX_LINES_SHOWN]:
            print(f"  {line}")
        if result.broken:
            print(f"  faults: {', '.join(result.faults)}\n  logs: {result.folder}")
            print(f"  stalls of the soak process (end, length in s): {result.stalls}")
    print(f"{args.seeds} runs, {failed} with violations")
    raise SystemExit(1 if failed else 0)


async def run_seed(seed, args):
    """Execute the run of one seed."""
    return await run_soak(
        seed,
        seconds=args.seconds,
        count=args.faults,
        nodes=args.nodes,
        quiets=args.quiets,
        demands=args.demands,
        link_cuts=args.link_cuts,
        bursts=args.bursts,
        losses=args.losses,
        oddities=args.oddities,
        has_bad_part=not args.sound,
        has_fatal_requests=not args.sound,
    )


if __name__ == "__main__":
    main()
