"""Read the lines of many logs as one stream in the order of their times."""

import heapq
from collections.abc import Iterable, Iterator
from datetime import datetime

import msgspec

from lycheetide.losses._types import Event
from lycheetide.metrics import HIDDEN, PARTS

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
PREFIXES = tuple(PARTS.values())


def read_events(logs: Iterable[Iterable[str]]) -> Iterator[Event]:
    """Yield the events of several logs in the order of their times.

    Nothing is held in memory but the next line of each log, so each has to be in order
    itself, as every process writes its own.

    Parameters
    ----------
    logs : iterable of iterables of str
        The lines of each log. What stands before a line's first brace is passed over,
        and so are lines that are cut or no JSON.
    """
    streams = (_parse_lines(lines) for lines in logs)
    yield from heapq.merge(*streams, key=lambda event: event.at_s)


def _parse_lines(lines):
    """Yield the events of one log."""
    decode = msgspec.json.Decoder(dict).decode
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            row = decode(line[start:].encode())
            yield _make_event(row)
        except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
            continue


def _make_event(row):
    """Return the event that a decoded line tells of."""
    message = row["message"]
    for prefix in PREFIXES:
        message = message.removeprefix(prefix)
    return Event(
        at_s=datetime.strptime(row["time"], TIME_FORMAT).timestamp(),
        node=row.get("node", ""),
        message=message,
        request=row.get("request", ""),
        fields={key: value for key, value in row.items() if key not in HIDDEN},
    )
