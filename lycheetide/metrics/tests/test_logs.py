"""Non-blocking and rate-limited logs, and the export of metrics."""

import io
import logging
import os
import subprocess
import sys
import time

import pytest

from lycheetide.metrics._counters import Counters
from lycheetide.metrics._exporter import MetricsExporter
from lycheetide.metrics._logs import NonBlockingHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    file = io.FileIO(writer, "wb")
    yield reader, file
    file.close()
    os.close(reader)


def make_logger(file, lines_per_s):
    handler = NonBlockingHandler(file, lines_per_s=lines_per_s)
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler


def test_full_pipe_does_not_block(pipe):
    """The reader of standard output has stopped reading, and the pipe is full.

    A blocking write would then stop the node and with it all requests.
    """
    reader, file = pipe
    logger, handler = make_logger(file, 1e9)
    started_s = time.monotonic()
    for number in range(5_000):
        logger.info("x" * 200 + str(number))
    assert time.monotonic() - started_s < 5.0
    assert handler.left_out > 4_000
    assert os.read(reader, 1 << 20)
    logger.info("there again")
    assert b"there again\nLines were left out." in os.read(reader, 1 << 20)
    assert handler.left_out == 0


def test_rate_of_lines_is_limited(pipe):
    """A fault can log a line for each of many requests.

    Without a rate limit, logging would take processor time from the requests.
    """
    reader, file = pipe
    logger, handler = make_logger(file, 10.0)
    for number in range(500):
        logger.info(str(number))
    assert len(os.read(reader, 1 << 20).splitlines()) <= 41
    assert handler.left_out >= 459


def test_long_line_is_cut_to_atomic_pipe_write(pipe):
    """A logged cause can hold a huge text.

    A line longer than the pipe takes at once would block or be torn.
    """
    reader, file = pipe
    logger, _ = make_logger(file, 1e9)
    logger.info("y" * 100_000)
    assert len(os.read(reader, 1 << 20)) <= 4_096


def test_counters_and_histograms_are_exported():
    counters = Counters()
    counters.add("retries.silent", 3)
    metrics_exporter = MetricsExporter(counters)
    metrics_exporter.observe("first_event", 0.07, kind="stream")
    text = b"".join(serve(metrics_exporter.make_app())).decode()
    assert "lycheetide_retries_silent_total 3.0" in text
    assert 'lycheetide_first_event_seconds_bucket{kind="stream",le="0.1"} 1.0' in text


def serve(app):
    """Call an ASGI application once and return the bodies that it sent."""
    sent = []

    async def send(message):
        sent.append(message.get("body", b""))

    coroutine = app({"type": "http"}, None, send)
    with pytest.raises(StopIteration):
        coroutine.send(None)
    return sent


def test_prometheus_client_is_not_imported_at_start():
    """Imported at the start, prometheus-client takes 4 MB in each of hundreds of nodes.

    Nearly none of these nodes is ever scraped.
    """
    program = (
        "import sys, lycheetide.relay, lycheetide.platform;"
        "raise SystemExit('prometheus_client' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 0
