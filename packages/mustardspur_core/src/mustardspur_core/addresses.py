"""Checks of addresses that other processes state."""

from typing import Final

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5


def has_valid_port(address: str) -> bool:
    """Return whether an address is a host and a port of 1 to `MAX_PORT`.

    Examples
    ========

    >>> has_valid_port('10.0.0.1:8080'), has_valid_port('10.0.0.1:65536')
    (True, False)
    """
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    return (
        bool(host)
        and is_number
        and len(port) <= MAX_PORT_DIGITS
        and 0 < int(port) <= MAX_PORT
    )
