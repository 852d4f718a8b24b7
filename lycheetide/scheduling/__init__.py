"""Scheduling of requests onto the replicas of a cell, as run by the cell's owner."""

from lycheetide.scheduling._cell import Cell
from lycheetide.scheduling._choose import choose_replicas
from lycheetide.scheduling._estimate import estimate_wait
from lycheetide.scheduling._limits import count_open_slots
from lycheetide.scheduling._order import order_tickets
from lycheetide.scheduling._reclaim import HeldMemory, find_orphans
from lycheetide.scheduling._types import (
    LoadReport,
    Permit,
    ReplicaLoad,
    ReplicaState,
    SchedulingPolicy,
    Ticket,
)

__all__ = [
    "Cell",
    "HeldMemory",
    "LoadReport",
    "Permit",
    "ReplicaLoad",
    "ReplicaState",
    "SchedulingPolicy",
    "Ticket",
    "choose_replicas",
    "count_open_slots",
    "estimate_wait",
    "find_orphans",
    "order_tickets",
]
