"""Parsers of single values; each says what it expected."""

import ipaddress
import re
from urllib.parse import urlsplit

_IDENTIFIER = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
LARGEST_PORT = 65_535


def identifier(text):
    """Read a name of lower-case letters, digits, dots, dashes and underscores."""
    if not _IDENTIFIER.fullmatch(text):
        raise ValueError("a name such as 'cork-a-1'")
    return text


def address(text):
    """Read "ip:port".

    Examples
    --------
    >>> address("127.0.0.1:8080")
    '127.0.0.1:8080'
    """
    expected = "an IP number and a port, such as 127.0.0.1:8080"
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(expected) from None
    if not 0 < number <= LARGEST_PORT:
        raise ValueError(expected)
    return text


def optional_address(text):
    """Read an address, or nothing."""
    return address(text) if text else ""


def address_list(text):
    """Read addresses with commas between them, or nothing.

    Examples
    --------
    >>> address_list("10.0.0.1:80, 10.0.0.2:80")
    ('10.0.0.1:80', '10.0.0.2:80')
    """
    return tuple(address(part.strip()) for part in text.split(",") if part.strip())


def pairs(text):
    """Read "key:value" pairs with commas between them, or nothing.

    Examples
    --------
    >>> pairs("cork-a:munster, cork-b:munster")
    (('cork-a', 'munster'), ('cork-b', 'munster'))
    """
    rows = [part.strip().partition(":") for part in text.split(",") if part.strip()]
    if not all(key and value for key, _, value in rows):
        raise ValueError("pairs such as cork-a:munster, cork-b:munster")
    return tuple((key, value) for key, _, value in rows)


def path_or_empty(text):
    """Read a path as it stands."""
    return text


def url(text):
    """Read the address of an HTTP service."""
    parts = urlsplit(text)
    if parts.scheme not in {"http", "https"} or not parts.netloc:
        raise ValueError("a URL such as http://10.0.0.1:9000")
    return text.rstrip("/")


def between(low, high):
    """Return a parser of a number of seconds from ``low`` to ``high``."""

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


def at_least(low):
    """Return a parser of a whole number from ``low`` up."""

    def parse(text):
        expected = f"a whole number of at least {low}"
        try:
            value = int(text)
        except ValueError:
            raise ValueError(expected) from None
        if value < low:
            raise ValueError(expected)
        return value

    return parse
