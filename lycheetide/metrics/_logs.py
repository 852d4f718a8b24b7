"""JSON logs; each part's sentences begin with its fixed prefix."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

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


def set_up_logs(*, level, node):
    """Write JSON lines to standard error, each with the node's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node},
        )
    )
    root = logging.getLogger("lycheetide")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False
