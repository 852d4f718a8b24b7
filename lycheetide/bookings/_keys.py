"""Idempotency keys that carry their birth and who may run them.

A key is issued by a node before it is used. Its birth is an offset of the log and no
clock: whoever holds all records from there on knows all that ever happened to the
key. If keys carried no birth, a key whose record the log had dropped would look like
a new one, and a buyer who asks again a day later would book twice.
"""

import secrets
from dataclasses import dataclass
from enum import StrEnum

RANDOM_BYTES = 12
FORMAT = "lt1"


class KeyMode(StrEnum):
    """How the node that gets a key makes sure that it runs once.

    ``CLAIMED`` keys are run by whichever node's claim comes first on the log.
    ``HOME`` keys are issued while the log is out, and only the incarnation that
    issued them ever runs them, so they need no log.
    """

    CLAIMED = "c"
    HOME = "h"


@dataclass(frozen=True)
class BookingKey:
    """What a key says.

    Parameters
    ----------
    text : str
        The key as the caller sends it.
    mode : KeyMode
        How it is kept from running twice.
    birth_offset : int
        The log's end, as the issuing node knew it; a smaller one is safe too.
    issuer_id : str
        The member id of the issuing node.
    customer : str
        Whom it was issued to.
    """

    text: str
    mode: KeyMode
    birth_offset: int
    issuer_id: str
    customer: str


def make_key(*, mode, birth_offset, issuer_id, customer, draw=secrets.token_hex):
    """Issue a key.

    Parameters
    ----------
    mode : KeyMode
        How it will be kept from running twice.
    birth_offset : int
        An offset that the log's end has reached already.
    issuer_id, customer : str
        Who issues it to whom.
    draw : callable, default=secrets.token_hex
        Takes a number of bytes and returns random hexadecimal digits.

    Returns
    -------
    BookingKey
        A key that nobody else has.

    Examples
    --------
    >>> key = make_key(mode=KeyMode.CLAIMED, birth_offset=7, issuer_id="n1/ab",
    ...                customer="kestrel", draw=lambda count: "00" * count)
    >>> key.text
    'lt1~c~7~n1/ab~kestrel~000000000000000000000000'
    """
    text = "~".join(
        [FORMAT, mode, str(birth_offset), issuer_id, customer, draw(RANDOM_BYTES)]
    )
    return BookingKey(text, mode, birth_offset, issuer_id, customer)


def parse_key(text):
    """Read a key.

    Raises
    ------
    ValueError
        If it was not issued by a node.
    """
    parts = text.split("~")
    expected = "a key issued by POST /v1/keys"
    if len(parts) != 6 or parts[0] != FORMAT:
        raise ValueError(expected)
    _, mode, birth, issuer_id, customer, random_part = parts
    if not birth.isascii() or not birth.isdigit():
        raise ValueError(expected)
    if len(random_part) != 2 * RANDOM_BYTES or mode not in set(KeyMode):
        raise ValueError(expected)
    return BookingKey(text, KeyMode(mode), int(birth), issuer_id, customer)
