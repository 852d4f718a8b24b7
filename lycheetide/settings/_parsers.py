"""Parsers of single values.

Each raises ``ValueError`` with a description of the expected value.
"""

import ipaddress
import re
from urllib.parse import urlsplit

_IDENTIFIER = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
MAX_PORT = 65_535


def identifier(text):
    """Parse a name of lower-case letters, digits, dots, dashes and underscores."""
    if not _IDENTIFIER.fullmatch(text):
        raise ValueError("a name such as 'cork-a-1'")
    return text


def address(text):
    """Parse an address of the form "ip:port".

    Examples
    --------
    >>> address("127.0.0.1:8080")
    '127.0.0.1:8080'
    """
    expected = "an IP address and a port, such as 127.0.0.1:8080"
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(expected) from None
    if not 0 < number <= MAX_PORT:
        raise ValueError(expected)
    return text


def optional_address(text):
    """Parse an address; an empty string is allowed."""
    return address(text) if text else ""


def address_list(text):
    """Parse a comma-separated list of addresses, which may be empty.

    Examples
    --------
    >>> address_list("10.0.0.1:80, 10.0.0.2:80")
    ('10.0.0.1:80', '10.0.0.2:80')
    """
    return tuple(address(part.strip()) for part in text.split(",") if part.strip())


def identifier_list(text):
    """Parse a comma-separated list of names, which may be empty.

    Examples
    --------
    >>> identifier_list("base, retry")
    ('base', 'retry')
    """
    return tuple(identifier(part.strip()) for part in text.split(",") if part.strip())


def pairs(text):
    """Parse a comma-separated list of "key:value" pairs, which may be empty.

    Examples
    --------
    >>> pairs("cork-a:munster, cork-b:munster")
    (('cork-a', 'munster'), ('cork-b', 'munster'))
    """
    rows = [part.strip().partition(":") for part in text.split(",") if part.strip()]
    if not all(key and value for key, _, value in rows):
        raise ValueError("key:value pairs such as cork-a:munster, cork-b:munster")
    return tuple((key, value) for key, _, value in rows)


def optional_path(text):
    """Return a path unchanged; it may be empty and is not checked."""
    return text


def url(text):
    """Parse the URL of an HTTP service."""
    parts = urlsplit(text)
    if parts.scheme not in {"http", "https"} or not parts.netloc:
        raise ValueError("a URL such as http://10.0.0.1:9000")
    return text.rstrip("/")


def number_between(low, high):
    """Return a parser of a number from ``low`` to ``high``, both included."""

    def parse(text):
        expected = f"a number from {low:g} to {high:g}"
        try:
            value = float(text)
        except ValueError:
            raise ValueError(expected) from None
        if not low <= value <= high:
            raise ValueError(expected)
        return value

    return parse


def integer_at_least(low):
    """Return a parser of an integer of at least ``low``."""

    def parse(text):
        expected = f"an integer of at least {low}"
        try:
            value = int(text)
        except ValueError:
            raise ValueError(expected) from None
        if value < low:
            raise ValueError(expected)
        return value

    return parse
