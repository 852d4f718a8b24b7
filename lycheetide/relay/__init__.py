"""Relay callers' requests to replicas and bring each its own answer."""

from lycheetide.relay._run import run_relay

__all__ = ["run_relay"]
