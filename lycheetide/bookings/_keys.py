"""Idempotency keys that hold their issue offset and which node may run them.

A node issues a key before the caller uses it. The key holds the log offset at that time
rather than a clock time: all records from that offset on contain the complete history
of the key. Without the offset, a key whose records the log has dropped would look like
a new one, and a retry one day later would run a second time.
"""

import secrets
from dataclasses import dataclass
from enum import StrEnum

RANDOM_BYTES = 12
KEY_FORMAT = "lt1"


class KeyMode(StrEnum):
    """How a key is kept from running twice.

    ``CLAIMED`` keys are run by the node whose claim is the first on the log. ``HOME``
    keys are issued while the log is unreachable. Only the process that issued a home
    key ever runs it, so that it does not need the log.
    """

    CLAIMED = "c"
    HOME = "h"


@dataclass(frozen=True)
class BookingKey:
    """An idempotency key and what it holds.

    Parameters
    ----------
    text : str
        The key as the caller sends it.
    mode : KeyMode
        How the key is kept from running twice.
    issue_offset : int
        End of the log as the issuing node knew it. A smaller offset is safe, too.
    issuer_id : str
        Member id of the issuing node.
    customer : str
        The customer to which the key was issued.
    """

    text: str
    mode: KeyMode
    issue_offset: int
    issuer_id: str
    customer: str


def make_key(*, mode, issue_offset, issuer_id, customer, random_hex=secrets.token_hex):
    """Issue a key.

    Parameters
    ----------
    mode : KeyMode
        How the key will be kept from running twice.
    issue_offset : int
        An offset not beyond the end of the log.
    issuer_id : str
        Member id of the issuing node.
    customer : str
        The customer to which the key is issued.
    random_hex : callable, default=secrets.token_hex
        Takes a number of bytes and returns random hexadecimal digits.

    Returns
    -------
    BookingKey
        A unique key.

    Examples
    --------
    >>> key = make_key(mode=KeyMode.CLAIMED, issue_offset=7, issuer_id="n1/ab",
    ...                customer="kestrel", random_hex=lambda count: "00" * count)
    >>> key.text
    'lt1~c~7~n1/ab~kestrel~000000000000000000000000'
    """
    text = "~".join(
        [
            KEY_FORMAT,
            mode,
            str(issue_offset),
            issuer_id,
            customer,
            random_hex(RANDOM_BYTES),
        ]
    )
    return BookingKey(text, mode, issue_offset, issuer_id, customer)


def parse_key(text):
    """Parse a key.

    Raises
    ------
    ValueError
        If the text does not have the format of a key that a node has issued.
    """
    parts = text.split("~")
    expected = "a key issued by POST /v1/keys"
    if len(parts) != 6 or parts[0] != KEY_FORMAT:
        raise ValueError(expected)
    _, mode, offset_text, issuer_id, customer, random_part = parts
    if not offset_text.isascii() or not offset_text.isdigit():
        raise ValueError(expected)
    if len(random_part) != 2 * RANDOM_BYTES or mode not in set(KeyMode):
        raise ValueError(expected)
    return BookingKey(text, KeyMode(mode), int(offset_text), issuer_id, customer)
