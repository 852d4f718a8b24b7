"""Clients of the platform services: the log and the host list."""

from lycheetide.platformlog._client import (
    LogBatch,
    LogClient,
    LogUnavailable,
    read_hosts,
)
from lycheetide.platformlog._writer import GroupWriter

__all__ = ["GroupWriter", "LogBatch", "LogClient", "LogUnavailable", "read_hosts"]
