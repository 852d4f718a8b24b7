"""A silent call is cancelled only when a replacement takes over, without data loss."""

import anyio
import anyio.lowlevel
import pytest

from lycheetide.upstreams import SilenceTimer, UpstreamTimeoutError, run_until_unneeded

LIMIT_S = 0.05

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_silent_call_without_replacement_continues():
    """No replacement is available, and the upstream answers late."""
    silence = SilenceTimer()

    async def work():
        silence.begin(LIMIT_S)
        await anyio.sleep(4 * LIMIT_S)
        silence.end()
        return "late"

    assert await run_until_unneeded(work, silence, anyio.sleep_forever) == "late"


async def test_silent_call_with_replacement_is_cancelled():
    """The upstream is gone; the caller must not have to wait for its deadline."""
    silence = SilenceTimer()

    async def work():
        silence.begin(LIMIT_S)
        await anyio.sleep_forever()

    async def wait_until_unneeded():
        await anyio.sleep(LIMIT_S)

    with anyio.fail_after(40 * LIMIT_S), pytest.raises(UpstreamTimeoutError):
        await run_until_unneeded(work, silence, wait_until_unneeded)


async def test_call_continues_when_upstream_resumes():
    """The search for a replacement is cancelled, and starts anew at each silence."""
    silence = SilenceTimer()
    searches = []

    async def work():
        for _ in range(3):
            silence.begin(LIMIT_S)
            await anyio.sleep(3 * LIMIT_S)
            silence.end()
        return "whole"

    async def wait_until_unneeded():
        searches.append(True)
        await anyio.sleep(10 * LIMIT_S)

    assert await run_until_unneeded(work, silence, wait_until_unneeded) == "whole"
    assert len(searches) == 3


async def test_slow_reader_does_not_count_as_silence():
    """The caller reads slowly and blocks the call; the upstream is not at fault."""
    silence = SilenceTimer()

    async def work():
        silence.begin(LIMIT_S)
        silence.end()
        await anyio.sleep(4 * LIMIT_S)
        return "whole"

    assert await run_until_unneeded(work, silence, anyio.lowlevel.checkpoint) == "whole"


async def test_data_received_after_abandonment_is_dropped_before_it_is_counted():
    """The next part of an answer arrives at the same moment as the replacement.

    If it were counted and then lost at the next await, the caller's answer would have
    a gap.
    """
    silence = SilenceTimer()
    arrival = anyio.Event()
    counted = []

    async def work():
        silence.begin(LIMIT_S)
        await arrival.wait()
        silence.end()
        counted.append(True)
        await anyio.lowlevel.checkpoint()

    async def wait_until_unneeded():
        arrival.set()

    with pytest.raises(UpstreamTimeoutError):
        await run_until_unneeded(work, silence, wait_until_unneeded)
    assert counted == []


async def test_error_of_a_call_is_raised_unchanged():
    """An error in the call must not be wrapped in an exception group."""

    async def work():
        raise ValueError("broken")

    with pytest.raises(ValueError, match="broken"):
        await run_until_unneeded(work, SilenceTimer(), anyio.sleep_forever)


async def test_result_is_kept_when_the_deadline_passes_at_the_same_moment():
    """The deadline passes after the call is complete, while the watch task ends.

    Losing the result would report "not run" after the last token of the answer.
    """
    result = None
    with anyio.CancelScope() as deadline:

        async def work():
            deadline.cancel()
            return "whole"

        result = await run_until_unneeded(work, SilenceTimer(), anyio.sleep_forever)
    assert result == "whole"
