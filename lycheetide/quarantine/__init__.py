"""Keep requests that crash replicas from the replicas.

A replica may crash whenever it works on a certain request, or writes an answer to a
prompt with a certain part. Each repetition, by a node or by its caller at another node,
then costs one more replica. The nodes report to each other which requests a replica
broke off when it crashed (``RequestEvidence``), which prompts were beginning and on
which parts replicas have written (``CrashEvidence``), and which prompts were at hand at
any moment of their answers (``PresenceEvidence``). The requests and the parts that are
found at fault are refused by all nodes (``QuarantineTable``).
"""

from lycheetide.quarantine._evidence import CrashEvidence, CrashSample
from lycheetide.quarantine._fingerprint import (
    HEAD_BYTES,
    hash_request_head,
    make_fingerprint,
)
from lycheetide.quarantine._parts import hash_part, hash_parts, name_quarantine
from lycheetide.quarantine._presence import (
    AFTERMATH_S,
    FRESH_S,
    PresenceEvidence,
    PresentPrompt,
)
from lycheetide.quarantine._requests import (
    PENDING_S,
    Break,
    RequestEvidence,
    Verdict,
    make_break,
)
from lycheetide.quarantine._state import CrashCheck, QuarantineState
from lycheetide.quarantine._table import (
    QuarantineEntry,
    QuarantineTable,
    decode_entries,
    encode_entries,
)

__all__ = [
    "AFTERMATH_S",
    "FRESH_S",
    "HEAD_BYTES",
    "PENDING_S",
    "Break",
    "CrashCheck",
    "CrashEvidence",
    "CrashSample",
    "PresenceEvidence",
    "PresentPrompt",
    "QuarantineEntry",
    "QuarantineState",
    "QuarantineTable",
    "RequestEvidence",
    "Verdict",
    "decode_entries",
    "encode_entries",
    "hash_part",
    "hash_parts",
    "hash_request_head",
    "make_break",
    "make_fingerprint",
    "name_quarantine",
]
