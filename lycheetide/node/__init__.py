"""The server process that each entry host runs."""

from lycheetide.node._run import ListenError, run_node

__all__ = ["ListenError", "run_node"]
