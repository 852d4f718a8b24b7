"""The server process that each entry host runs."""

from lycheetide.node._run import CannotListen, run_node

__all__ = ["CannotListen", "run_node"]
