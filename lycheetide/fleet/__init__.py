"""The fleet configuration, its validation and the changes applied from the log."""

from lycheetide.fleet._availability import takes_new_work
from lycheetide.fleet._build import FleetBuilder, print_fleet
from lycheetide.fleet._fold import (
    ConfigState,
    Verdict,
    fold,
    make_change_record,
    make_snapshot_record,
    restore_snapshot,
)
from lycheetide.fleet._model import (
    Customer,
    FailureDomain,
    Fleet,
    Model,
    Operation,
    RequestClass,
    Upstream,
    decode_entry,
    encode_entry,
)
from lycheetide.fleet._validation import find_invalid_entries, validate_document

__all__ = [
    "ConfigState",
    "Customer",
    "FailureDomain",
    "Fleet",
    "FleetBuilder",
    "Model",
    "Operation",
    "RequestClass",
    "Upstream",
    "Verdict",
    "decode_entry",
    "encode_entry",
    "find_invalid_entries",
    "fold",
    "make_change_record",
    "make_snapshot_record",
    "print_fleet",
    "restore_snapshot",
    "takes_new_work",
    "validate_document",
]
