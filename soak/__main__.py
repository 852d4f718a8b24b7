"""``python -m soak``: play runs with fresh or given seeds, and print what broke."""

import argparse
import time

import anyio

from soak.run import FAULTS, FAULTS_S, QUIETS, play

SHOWN = 12


def main():
    """Play runs one after the other; exit with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--first", type=int, help="first seed; the time by default")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=FAULTS_S)
    parser.add_argument("--faults", type=int, default=FAULTS)
    parser.add_argument("--quiets", type=int, default=QUIETS)
    parser.add_argument("--nodes", type=int, default=4)
    args = parser.parse_args()
    first = int(time.time()) if args.first is None else args.first
    failed = 0
    for seed in range(first, first + args.seeds):
        result = anyio.run(play_one, seed, args)
        failed += bool(result.broken)
        print(
            f"seed {seed}: {result.served} of {result.attempts} served,"
            f" {len(result.broken)} broken",
            flush=True,
        )
        for line in result.broken[:SHOWN]:
            print(f"  {line}")
        if result.broken:
            print(f"  faults: {', '.join(result.faults)}\n  logs: {result.folder}")
            print(f"  own standstills (end, length in s): {result.stalls}")
    print(f"{args.seeds} runs, {failed} with broken promises")
    raise SystemExit(1 if failed else 0)


async def play_one(seed, args):
    """Play one seed."""
    return await play(
        seed,
        seconds=args.seconds,
        count=args.faults,
        nodes=args.nodes,
        quiets=args.quiets,
    )


if __name__ == "__main__":
    main()
