"""One node: what an entry host runs."""

from lycheetide.node._run import run_node

__all__ = ["run_node"]
