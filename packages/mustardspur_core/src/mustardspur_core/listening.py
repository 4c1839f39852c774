"""Sockets of the addresses that a process listens on."""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from functools import partial
from typing import Final

from mustardspur_core.address_holders import find_holders
from mustardspur_core.settings.model import Settings
from mustardspur_core.start_wait import StartWait

# An address that another socket uses, or that the instance gets later.
_TEMPORARY: Final = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))

BACKLOG: Final = 128

_held_by_address: dict[str, socket.socket] = {}


def hold_addresses(addresses: Iterable[str], wait: StartWait) -> None:
    """Bind sockets to all addresses before the process serves on any.

    Explanation
    ===========

    A held address refuses connections until `listening_socket` is called for
    it and the socket listens, so that no connection waits unanswered. No other
    socket can be bound to it meanwhile, and the kernel gives its port to no
    outgoing connection. The addresses are bound one after the other, so that
    two processes with the same ones cannot wait for each other.

    Raises
    ------
    OSError
        If an address cannot be bound.
    """
    for address in addresses:
        if address not in _held_by_address:
            held = wait.obtain(
                f'address {address}',
                partial(_bind_alone, address),
                _is_temporary,
                partial(_describe, address),
            )
            # Two sockets that do not listen may share an address as long as
            # both have this option.
            _set_reuse(held, is_set=False)
            _held_by_address[address] = held


def listening_socket(address: str) -> socket.socket:
    """Return a socket to listen on an address, the held one if there is one.

    Raises
    ------
    OSError
        If the address is not held and cannot be bound.
    """
    held = _held_by_address.pop(address, None)
    if held is None:
        return _bind(address)
    # Accepted connections inherit it. Without it, those that are still open or
    # in TIME_WAIT would keep the next process from its address.
    _set_reuse(held, is_set=True)
    return held


async def listen(
    create_protocol: Callable[[], asyncio.BaseProtocol],
    address: str,
    backlog: int = BACKLOG,
) -> asyncio.Server:
    """Accept connections on an address.

    Parameters
    ----------
    create_protocol : callable
        Returns the protocol of a new connection.
    address : str
        ``ip:port``; port 0 selects a free one.
    backlog : int, optional
        Connections that may wait to be accepted.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    return await asyncio.get_running_loop().create_server(
        create_protocol,
        sock=listening_socket(address),
        backlog=backlog,
    )


def listened_addresses(settings: Settings) -> list[str]:
    """Return the addresses without which the role of a process is useless.

    The one of the metrics is none of them.
    """
    listen = settings.listen
    addresses: list[str | None] = [listen.http]
    if settings.role == 'control' or settings.mesh is not None:
        addresses.append(listen.stream)
    if settings.mesh is not None and settings.role == 'node':
        addresses.extend((listen.targets, listen.ready))
    return [address for address in addresses if address is not None]


def _bind_alone(address: str) -> socket.socket:
    """Bind so that no process that starts at the same moment binds as well.

    Connections of the process before, open or in TIME_WAIT, allow that only
    with the option, and two processes with it can both bind until one has
    removed it.
    """
    try:
        return _bind(address, is_reused=False)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
    return _bind(address)


def _bind(address: str, *, is_reused: bool = True) -> socket.socket:
    host, _, port = address.rpartition(':')
    with ExitStack() as stack:
        bound = stack.enter_context(socket.socket())
        bound.setblocking(False)
        _set_reuse(bound, is_set=is_reused)
        bound.bind((host, int(port)))
        stack.pop_all()
    return bound


def _set_reuse(bound: socket.socket, *, is_set: bool) -> None:
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, is_set)


def _is_temporary(error: OSError) -> bool:
    return error.errno in _TEMPORARY


def _describe(address: str) -> dict[str, str]:
    return {'held_by': ', '.join(find_holders(address)) or 'not known'}
