"""The table of replicas, built from the records of the registry."""

from lycheetide.replicas._domains import exclude_failed_domains
from lycheetide.replicas._table import (
    RegistryChange,
    RegistryEntry,
    Replica,
    ReplicaTable,
)

__all__ = [
    "RegistryChange",
    "RegistryEntry",
    "Replica",
    "ReplicaTable",
    "exclude_failed_domains",
]
