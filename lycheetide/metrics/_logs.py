"""JSON logs on standard output; each part's sentences begin with its fixed prefix.

Logs must never hold a request up. A reader that stops reading fills the pipe, and the
next write would stop the whole node; so a line is written only if it fits, and what
was left out is counted in a line of its own.
"""

import io
import logging
import select
import sys

from pythonjsonlogger.json import JsonFormatter

from lycheetide.limits import Bucket, spend

PARTS = {
    "node": "Node: ",
    "door": "Door: ",
    "prompt": "Prompt: ",
    "booking": "Booking: ",
    "owner": "Owner: ",
    "member": "Member: ",
    "config": "Config: ",
    "reclaim": "Reclaim: ",
    "relay": "Relay: ",
}
LINE_BYTES = 4_000
"""A pipe that is writable takes 4,096 bytes at once without waiting (PIPE_BUF)."""
LINES_PER_S = 100.0
BURST_S = 4.0
"""How many seconds' lines may come at once."""


class _PrefixAdapter(logging.LoggerAdapter):
    """Puts the part's prefix before each sentence and keeps the fields."""

    def process(self, msg, kwargs):
        """Return the sentence with its prefix."""
        return PARTS[self.logger.name.rpartition(".")[2]] + msg, kwargs


def get_log(part):
    """Return the log of one part.

    Parameters
    ----------
    part : str
        A key of ``PARTS``.
    """
    logger = logging.getLogger(f"lycheetide.{part}")
    return _PrefixAdapter(logger, {})


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for it.

    Parameters
    ----------
    file : file object
        Where to; only its descriptor is used.
    lines_per_s : float
        What is written over time.
    """

    def __init__(self, file, *, lines_per_s):
        super().__init__()
        self.file = file
        self.lines_per_s = lines_per_s
        self.left_out = 0
        self._bucket = Bucket(lines_per_s * BURST_S, 0.0)
        self._poll = select.poll()
        self._poll.register(file.fileno(), select.POLLOUT)

    def emit(self, record):
        """Write a record, or count it as left out."""
        self._bucket, allowed = spend(
            self._bucket,
            rate_per_s=self.lines_per_s,
            burst=self.lines_per_s * BURST_S,
            now_s=record.created,
        )
        if not allowed or not self._write(self.format(record)):
            self.left_out += 1
            return
        if self.left_out:
            self._tell_left_out(record)

    def _tell_left_out(self, record):
        """Write how many lines were left out before."""
        note = logging.LogRecord(
            record.name, logging.WARNING, "", 0, "Lines were left out.", (), None
        )
        note.created = record.created
        note.left_out = self.left_out
        if self._write(self.format(note)):
            self.left_out = 0

    def _write(self, line):
        """Write a line if that doesn't wait; tell whether it was written."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        data = line.encode("utf-8", "replace")
        if len(data) > LINE_BYTES:
            data = data[:LINE_BYTES] + b' ... cut"}'
        try:
            self.file.write(data + b"\n")
        except OSError:
            return False
        return True


def set_up_logs(*, level, node, lines_per_s=LINES_PER_S):
    """Write JSON lines to standard output, each with the node's name.

    Parameters
    ----------
    level : str
        The least that is written.
    node : str
        The node's name.
    lines_per_s : float
        How many lines are written over time.
    """
    raw = io.FileIO(sys.stdout.fileno(), "wb", closefd=False)
    handler = BoundedHandler(raw, lines_per_s=lines_per_s)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node},
        )
    )
    # Libraries' own warnings go the same bounded way.
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("lycheetide").setLevel(level)
