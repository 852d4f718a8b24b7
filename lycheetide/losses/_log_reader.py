"""Merge the lines of several logs into one stream of events, ordered by time."""

import heapq
from collections.abc import Iterable, Iterator
from datetime import datetime

import msgspec

from lycheetide.losses._types import Event
from lycheetide.metrics import COMPONENT_PREFIXES, STANDARD_FIELDS

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
LOG_PREFIXES = tuple(COMPONENT_PREFIXES.values())


def read_events(logs: Iterable[Iterable[str]]) -> Iterator[Event]:
    """Yield the events of several logs in the order of their times.

    Only the next line of each log is held in memory. Each log must therefore be ordered
    by time itself, which holds for a log that one process wrote.

    Parameters
    ----------
    logs : iterable of iterables of str
        The lines of each log. Text before the first brace of a line is ignored, and so
        are lines that are truncated or not JSON.
    """
    streams = (_parse_lines(lines) for lines in logs)
    yield from heapq.merge(*streams, key=lambda event: event.at_s)


def _parse_lines(lines):
    """Yield the events of one log and skip lines that can't be parsed."""
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
    """Return the event of a decoded log line."""
    message = row["message"]
    for prefix in LOG_PREFIXES:
        message = message.removeprefix(prefix)
    return Event(
        at_s=datetime.strptime(row["time"], TIME_FORMAT).timestamp(),
        node=row.get("node", ""),
        message=message,
        request=row.get("request", ""),
        fields={key: value for key, value in row.items() if key not in STANDARD_FIELDS},
    )
