"""Append a configuration's record to the log."""

import anyio
import cappa
import httpx

from lycheetide.cli._output import EXIT_UNREACHED
from lycheetide.node._state import CONFIG_STREAM
from lycheetide.platformlog import LogClient, LogUnavailable

APPEND_TRIES = 5
POLL_S = 0.1


async def append_record(log_url, record):
    """Append a record; an append without an answer is repeated with the same id.

    The fold takes the first one and refuses the second, which changes nothing.
    """
    async with httpx.AsyncClient(trust_env=False) as http:
        log = LogClient(http, log_url)
        for _ in range(APPEND_TRIES):
            try:
                return await log.append(CONFIG_STREAM, [record])
            except LogUnavailable as error:
                cause = error
                await anyio.sleep(POLL_S)
    raise cappa.Exit(
        f"the log gives no answer ({cause}); record {record['id']} may stand on it: "
        "look with 'lycheetide config show' before publishing again",
        code=EXIT_UNREACHED,
    )
