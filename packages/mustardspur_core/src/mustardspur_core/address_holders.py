"""What holds an address of the instance, for the log."""

import socket
import struct
from contextlib import suppress
from pathlib import Path
from types import MappingProxyType
from typing import Final

_TABLE: Final = Path('/proc/net/tcp')
_HEXADECIMAL: Final = 16
_LISTENS: Final = '0A'
_USER_FIELD: Final = 7
_STATES: Final = MappingProxyType(
    {
        '01': 'established',
        '04': 'fin-wait-1',
        '05': 'fin-wait-2',
        '06': 'time-wait',
        '08': 'close-wait',
        '09': 'last-ack',
        '0B': 'closing',
    }
)
_ANY_HOST: Final = '0.0.0.0'
_MAX_HOLDERS: Final = 3


def find_holders(address: str, table: Path = _TABLE) -> list[str]:
    """Return what uses the local address ``ip:port``, listeners first.

    Explanation
    ===========

    The kernel's table does not name processes, but the users of sockets. It
    leaves out sockets that are bound and neither listen nor are connected.

    Parameters
    ----------
    address : str
        The local address.
    table : Path, optional
        The kernel's table of TCP sockets.

    Returns
    -------
    list of str
        Descriptions of the first few, empty if none is known.
    """
    try:
        lines = table.read_text('utf-8').splitlines()[1:]
    except OSError:
        return []
    listeners: list[str] = []
    connections: list[str] = []
    for line in lines:
        # A line in another form must not end the start that waits.
        with suppress(ValueError, IndexError, struct.error):
            _add_holder(line, address, listeners, connections)
    return [*listeners, *connections][:_MAX_HOLDERS]


def _add_holder(
    line: str,
    address: str,
    listeners: list[str],
    connections: list[str],
) -> None:
    fields = line.split()
    local, remote, state = fields[1:4]
    if not _is_same(_decode(local), address):
        return
    if state == _LISTENS:
        listeners.append(f'listener of user {fields[_USER_FIELD]}')
    else:
        name = _STATES.get(state, state)
        connections.append(f'connection to {_decode(remote)} ({name})')


def _is_same(local: str, address: str) -> bool:
    hosts = {each.rpartition(':')[0] for each in (local, address)}
    ports = {each.rpartition(':')[2] for each in (local, address)}
    return len(ports) == 1 and (len(hosts) == 1 or _ANY_HOST in hosts)


def _decode(entry: str) -> str:
    """Return ``ip:port`` for an entry of the kernel's table."""
    host, _, port = entry.partition(':')
    packed = struct.pack('=I', int(host, _HEXADECIMAL))
    return f'{socket.inet_ntoa(packed)}:{int(port, _HEXADECIMAL)}'
