"""Append a configuration record to the log."""

import anyio
import cappa
import httpx

from lycheetide.cli._output import EXIT_UNREACHABLE
from lycheetide.node._state import CONFIG_STREAM
from lycheetide.platformlog import LogClient, LogUnavailable

MAX_APPEND_ATTEMPTS = 5
RETRY_DELAY_S = 0.1


async def append_record(log_url, record):
    """Append a record; an append without an answer is retried with the same record id.

    If both appends reach the log, the first record is applied and the second is refused
    and changes nothing.
    """
    async with httpx.AsyncClient(trust_env=False) as http:
        log = LogClient(http, log_url)
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                return await log.append(CONFIG_STREAM, [record])
            except LogUnavailable as error:
                cause = error
                await anyio.sleep(RETRY_DELAY_S)
    raise cappa.Exit(
        f"the log did not answer ({cause}); it may hold record {record['id']}: "
        "check with 'lycheetide config show' before publishing again",
        code=EXIT_UNREACHABLE,
    )
