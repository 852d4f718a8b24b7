"""Clients of the platform: its log and its list of hosts."""

from lycheetide.platformlog._client import (
    LogBatch,
    LogClient,
    LogUnavailable,
    read_hosts,
)
from lycheetide.platformlog._writer import GroupWriter

__all__ = ["GroupWriter", "LogBatch", "LogClient", "LogUnavailable", "read_hosts"]
