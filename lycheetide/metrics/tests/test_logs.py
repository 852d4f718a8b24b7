"""Logs that nobody reads, or that are too many."""

import io
import logging
import os
import subprocess
import sys
import time

import pytest

from lycheetide.metrics._counters import Counters
from lycheetide.metrics._exposition import Exposition
from lycheetide.metrics._logs import BoundedHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    file = io.FileIO(writer, "wb")
    yield reader, file
    file.close()
    os.close(reader)


def make_logger(file, lines_per_s):
    handler = BoundedHandler(file, lines_per_s=lines_per_s)
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler


def test_a_full_pipe_holds_nobody_up(pipe):
    """Whoever reads standard output has stopped, and the pipe is full.

    A write that waits for the reader would stop the node, and all its callers with it.
    """
    reader, file = pipe
    logger, handler = make_logger(file, 1e9)
    begun_s = time.monotonic()
    for number in range(5_000):
        logger.info("x" * 200 + str(number))
    assert time.monotonic() - begun_s < 5.0
    assert handler.left_out > 4_000
    assert os.read(reader, 1 << 20)
    logger.info("there again")
    assert b"there again\nLines were left out." in os.read(reader, 1 << 20)
    assert handler.left_out == 0


def test_a_storm_of_lines_is_bounded(pipe):
    """A fault writes a line for each of many requests.

    Unbounded lines would take the processor from the requests themselves.
    """
    reader, file = pipe
    logger, handler = make_logger(file, 10.0)
    for number in range(500):
        logger.info(str(number))
    assert len(os.read(reader, 1 << 20).splitlines()) <= 41
    assert handler.left_out >= 459


def test_a_line_is_never_longer_than_a_pipe_takes_at_once(pipe):
    """A cause with a huge text is logged; half a line would block or be torn."""
    reader, file = pipe
    logger, _ = make_logger(file, 1e9)
    logger.info("y" * 100_000)
    assert len(os.read(reader, 1 << 20)) <= 4_096


def test_counters_and_histograms_are_shown():
    counters = Counters()
    counters.add("retries.silent", 3)
    shown = Exposition(counters)
    shown.observe("first_event", 0.07, kind="stream")
    text = b"".join(serve(shown.make_app())).decode()
    assert "lycheetide_retries_silent_total 3.0" in text
    assert 'lycheetide_first_event_seconds_bucket{kind="stream",le="0.1"} 1.0' in text


def serve(app):
    """Run an application once and return what it sent."""
    sent = []

    async def send(message):
        sent.append(message.get("body", b""))

    coroutine = app({"type": "http"}, None, send)
    with pytest.raises(StopIteration):
        coroutine.send(None)
    return sent


def test_the_library_that_writes_metrics_is_loaded_when_they_are_asked_for():
    """Each of hundreds of nodes holds 4 MB that nearly none of them ever needs."""
    program = (
        "import sys, lycheetide.relay, lycheetide.platform;"
        "raise SystemExit('prometheus_client' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
