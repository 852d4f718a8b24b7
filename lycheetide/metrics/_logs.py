"""JSON logs on standard output; each component's messages have a fixed prefix.

Logging must never block a request. If the reader of standard output stops reading, the
pipe fills, and a blocking write would stop the whole node. A line is therefore written
only if the pipe can take it at once. Lines that can't be written, or that exceed the
rate limit, are dropped, and their number is logged later.
"""

import io
import logging
import select
import sys

from pythonjsonlogger.json import JsonFormatter

from lycheetide.limits import TokenBucket, take_token

COMPONENT_PREFIXES = {
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
MAX_LINE_BYTES = 4_000
"""A writable pipe takes 4,096 bytes (PIPE_BUF) at once without blocking."""
LINES_PER_S = 100.0
BURST_S = 4.0
"""Burst capacity of the rate limit, in seconds at the full rate."""


class _PrefixAdapter(logging.LoggerAdapter):
    """Adds the component's prefix to each message and keeps the fields."""

    def process(self, msg, kwargs):
        """Return the message with its prefix."""
        return COMPONENT_PREFIXES[self.logger.name.rpartition(".")[2]] + msg, kwargs


def get_logger(part):
    """Return the logger of one component.

    Parameters
    ----------
    part : str
        Name of the component, a key of ``COMPONENT_PREFIXES``.
    """
    logger = logging.getLogger(f"lycheetide.{part}")
    return _PrefixAdapter(logger, {})


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking and at a limited rate.

    Parameters
    ----------
    file : file object
        Unbuffered binary file to write to; its descriptor is polled before each write.
    lines_per_s : float
        Maximum rate of lines over time.
    """

    def __init__(self, file, *, lines_per_s):
        super().__init__()
        self.file = file
        self.lines_per_s = lines_per_s
        self.left_out = 0
        self._bucket = TokenBucket(lines_per_s * BURST_S, 0.0)
        self._poll = select.poll()
        self._poll.register(file.fileno(), select.POLLOUT)

    def emit(self, record):
        """Write a record, or count it as dropped."""
        self._bucket, allowed = take_token(
            self._bucket,
            rate_per_s=self.lines_per_s,
            burst=self.lines_per_s * BURST_S,
            now_s=record.created,
        )
        if not allowed or not self._write(self.format(record)):
            self.left_out += 1
            return
        if self.left_out:
            self._log_left_out(record)

    def _log_left_out(self, record):
        """Log the number of lines that were dropped before this record."""
        note = logging.LogRecord(
            record.name, logging.WARNING, "", 0, "Lines were left out.", (), None
        )
        note.created = record.created
        note.left_out = self.left_out
        if self._write(self.format(note)):
            self.left_out = 0

    def _write(self, line):
        """Write a line if that doesn't block; return whether it was written."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        data = line.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[:MAX_LINE_BYTES] + b' ... cut"}'
        try:
            self.file.write(data + b"\n")
        except OSError:
            return False
        return True


def configure_logging(*, level, node, lines_per_s=LINES_PER_S):
    """Set up JSON logging to standard output; each line has the node's name.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    node : str
        Name of the node.
    lines_per_s : float
        Maximum rate of lines over time.
    """
    raw = io.FileIO(sys.stdout.fileno(), "wb", closefd=False)
    handler = NonBlockingHandler(raw, lines_per_s=lines_per_s)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node},
        )
    )
    # Warnings of libraries also go through the non-blocking, rate-limited handler.
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("lycheetide").setLevel(level)
