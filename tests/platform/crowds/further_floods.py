"""Floods that are played by hand only."""

from collections.abc import Iterator
from itertools import chain, repeat
from types import MappingProxyType
from typing import Final

from tests.platform.crowds.floods import Client

_COUNT: Final = 1_000


def http2_preface(client: Client) -> Iterator[bytes]:
    """The preface of HTTP/2 and empty settings frames."""
    frame = b'\x00\x00\x00\x04\x00\x00\x00\x00\x00'
    preface = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
    return chain((preface,), repeat(frame, _COUNT))


def upgrades(client: Client) -> Iterator[bytes]:
    """Requests to change the protocol, and bytes of another one."""
    head = client.head('Connection: Upgrade', 'Upgrade: websocket')
    return repeat(head + bytes(_COUNT), _COUNT)


def trickle(client: Client) -> Iterator[bytes]:
    """A body of legal size in parts of one byte; use it with --pause."""
    return chain((client.sized(_COUNT),), repeat(b' ', _COUNT - 1))


FURTHER_BY_NAME: Final = MappingProxyType(
    {
        function.__name__: function
        for function in (http2_preface, upgrades, trickle)
    },
)
