"""Collect one request's lines from the logs of several processes, ordered by time."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

CAUSE_DESCRIPTIONS = {
    "no_replica": "no replica of its service took work",
    "no_room": "every replica had so much queued work that its caller would have left",
    "no_memory": "no replica or set of replicas had enough memory for it",
    "refused": "the replica refused it without starting it",
    "other_replica": "another replica now has this address",
    "connect_failed": "the connection to the replica could not be opened",
    "broken": "the connection to the replica broke",
    "silent": "the replica stopped responding",
    "wrong_answer": "the replica sent an invalid answer",
    "upstream_error": "the replica failed while processing it",
    "deadline": "its time was up",
    "unauthenticated": "its credential belongs to no customer",
    "no_route": "no route matches its host and path",
    "not_ready": "the node had no configuration yet",
    "body_too_large": "its body is larger than the configuration allows",
    "internal": "an internal error of the node",
}
"""Description of each cause code in the logs."""

STANDARD_FIELDS = frozenset({"time", "level", "message", "node", "request"})


@dataclass(frozen=True)
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time : str
        Timestamp as written.
    node : str
        Name of the process that wrote it.
    message : str
        Message with its component's prefix.
    fields : dict
        All other fields of the line.
    """

    time: str
    node: str
    message: str
    fields: dict = field(default_factory=dict)


def read_request_lines(texts: Iterable[str], request_id: str) -> Iterator[LogLine]:
    """Yield the log lines of one request.

    Parameters
    ----------
    texts : iterable of str
        Lines of any logs; text before the first brace of a line is ignored.
    request_id : str
        Id of the request.
    """
    for text in texts:
        start = text.find("{")
        if start < 0 or request_id not in text:
            continue
        try:
            row = json.loads(text[start:])
        except json.JSONDecodeError:
            continue
        if row.get("request") != request_id:
            continue
        fields = {
            key: value for key, value in row.items() if key not in STANDARD_FIELDS
        }
        yield LogLine(row["time"], row.get("node", ""), row["message"], fields)


def sort_by_time(lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines ordered by time; the hosts' clocks are assumed to be in sync."""
    return sorted(lines, key=lambda line: line.time)


def describe_outcome(lines: list[LogLine]) -> str:
    """Describe how a request ended and why.

    Parameters
    ----------
    lines : list of LogLine
        All log lines of the request, ordered by time.

    Returns
    -------
    str
        Description, also for a request whose end is not in the logs.
    """
    end_lines = [line for line in lines if "outcome" in line.fields]
    if not end_lines:
        return (
            "its end is not in these logs: the process ended, or the line was left out"
        )
    outcome = end_lines[-1].fields["outcome"]
    failed = [line for line in lines if line.fields.get("replica") and
              line.fields.get("cause")]  # fmt: skip
    attempts = [
        f"{line.fields['replica']}: {CAUSE_DESCRIPTIONS.get(line.fields['cause'], '?')}"
        for line in failed
    ]
    attempts_text = "; ".join(attempts)
    if outcome == "caller_left":
        return "its caller closed the connection" + (
            f" after {attempts_text}" if attempts_text else ""
        )
    if outcome.startswith("answered.2"):
        return "answered" + (f", after {attempts_text}" if attempts_text else "")
    if outcome.startswith("answered."):
        return f"the replica itself answered {end_lines[-1].fields.get('status')}"
    own = CAUSE_DESCRIPTIONS.get(
        outcome.rpartition(".")[2], end_lines[-1].fields.get("cause", "")
    )
    return f"{outcome}: {own}" + (f" ({attempts_text})" if attempts_text else "")
