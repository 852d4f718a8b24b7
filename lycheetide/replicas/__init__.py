"""The table of replicas, built from the records of the registry."""

from lycheetide.replicas._domains import drop_dark_domains
from lycheetide.replicas._table import Change, Entry, Replica, ReplicaTable

__all__ = ["Change", "Entry", "Replica", "ReplicaTable", "drop_dark_domains"]
