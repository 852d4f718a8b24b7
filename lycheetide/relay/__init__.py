"""Forward clients' requests to replicas and return each response to its client."""

from lycheetide.relay._run import run_relay

__all__ = ["run_relay"]
