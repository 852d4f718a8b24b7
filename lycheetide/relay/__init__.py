"""Forward clients' requests to replicas and return each response to its client."""

from lycheetide.relay._quarantine_store import lift_quarantine, read_quarantines
from lycheetide.relay._run import run_relay

__all__ = ["lift_quarantine", "read_quarantines", "run_relay"]
