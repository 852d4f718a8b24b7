"""A silent call ends only when its successor is there, and loses nothing by that."""

import anyio
import anyio.lowlevel
import pytest

from lycheetide.upstreams import Silence, UpstreamSilent, run_watched

LIMIT_S = 0.05

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_a_call_without_a_successor_outlasts_its_silence():
    """Nobody can take the call over, and its upstream answers late."""
    silence = Silence()

    async def work():
        silence.begin(LIMIT_S)
        await anyio.sleep(4 * LIMIT_S)
        silence.end()
        return "late"

    assert await run_watched(work, silence, anyio.sleep_forever) == "late"


async def test_a_call_with_a_successor_is_ended():
    """An upstream is gone for good; its caller must not wait for the deadline."""
    silence = Silence()

    async def work():
        silence.begin(LIMIT_S)
        await anyio.sleep_forever()

    async def seek():
        await anyio.sleep(LIMIT_S)

    with anyio.fail_after(40 * LIMIT_S), pytest.raises(UpstreamSilent):
        await run_watched(work, silence, seek)


async def test_an_upstream_that_speaks_again_keeps_its_call():
    """The successor is sought while the upstream goes on; each silence seeks anew."""
    silence = Silence()
    sought = []

    async def work():
        for _ in range(3):
            silence.begin(LIMIT_S)
            await anyio.sleep(3 * LIMIT_S)
            silence.end()
        return "whole"

    async def seek():
        sought.append(True)
        await anyio.sleep(10 * LIMIT_S)

    assert await run_watched(work, silence, seek) == "whole"
    assert len(sought) == 3


async def test_a_caller_that_reads_slowly_is_no_silence():
    """An answer's reader is blocked by its caller; the upstream owes nothing."""
    silence = Silence()

    async def work():
        silence.begin(LIMIT_S)
        silence.end()
        await anyio.sleep(4 * LIMIT_S)
        return "whole"

    assert await run_watched(work, silence, anyio.lowlevel.checkpoint) == "whole"


async def test_what_comes_after_the_call_was_left_is_dropped_before_it_is_counted():
    """An answer's next part comes in the same moment as the successor.

    Were it counted and then lost at the next await, the caller's answer had a gap.
    """
    silence = Silence()
    arrival = anyio.Event()
    counted = []

    async def work():
        silence.begin(LIMIT_S)
        await arrival.wait()
        silence.end()
        counted.append(True)
        await anyio.lowlevel.checkpoint()

    async def seek():
        arrival.set()

    with pytest.raises(UpstreamSilent):
        await run_watched(work, silence, seek)
    assert counted == []


async def test_a_calls_error_is_raised_as_it_is():
    """An error within the watched call must not come as a group of errors."""

    async def work():
        raise ValueError("broken")

    with pytest.raises(ValueError, match="broken"):
        await run_watched(work, Silence(), anyio.sleep_forever)


async def test_an_answer_that_came_is_not_lost_to_a_deadline_in_the_same_moment():
    """A caller's deadline passes while the watch over a whole answer is ended.

    The caller would be told "not run" after the last token of its answer.
    """
    result = None
    with anyio.CancelScope() as deadline:

        async def work():
            deadline.cancel()
            return "whole"

        result = await run_watched(work, Silence(), anyio.sleep_forever)
    assert result == "whole"
