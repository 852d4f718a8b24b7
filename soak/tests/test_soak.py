"""Runs of real processes with faults from outside, by seeds that stay the same."""

import anyio
import pytest

from soak.run import QUIETS, play

FAILED_ONCE = {
    1: "a hangup ended a process that was loading its libraries",
    13: "two kept connections that had been closed used up a stream's attempts",
    23: "a release that crossed the end of a kept connection left memory taken",
}
"""Seeds that broke a promise once, and the cause; they keep all of them now."""
QUIET_FAILED_ONCE = {
    30: "a stream was given up for silence with no attempt left, and cut",
    37: "streams that one replica's silence had moved were cut in the next one's",
}
"""The same, of short runs whose replicas also say nothing for a while."""


async def check(seed, **options):
    result = await play(seed, **options)
    seen = (result.faults, result.folder, result.stalls)
    assert result.broken == [], seen
    assert result.served > result.attempts / 3, seen


def test_a_short_run_keeps_all_promises():
    """Six faults within four seconds, of two kinds of each sort."""
    anyio.run(lambda: check(7, seconds=4.0, count=6))


@pytest.mark.parametrize("seed", FAILED_ONCE)
def test_a_seed_that_failed_once_keeps_all_promises(seed):
    anyio.run(check, seed)


@pytest.mark.parametrize("seed", QUIET_FAILED_ONCE)
def test_a_seed_with_silences_that_failed_once_keeps_all_promises(seed):
    anyio.run(lambda: check(seed, seconds=5.0, count=5, quiets=QUIETS))
