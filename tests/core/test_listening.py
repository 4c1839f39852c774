"""Tests of the sockets of the addresses that a process listens on."""

import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from mustardspur_core.address_holders import find_holders
from mustardspur_core.listening import (
    hold_addresses,
    listened_addresses,
    listening_socket,
)
from mustardspur_core.settings import Settings, parse_settings
from mustardspur_core.start_wait import StartWait

from tests.support.ports import free_address

_TABLE = """\
  sl  local_address rem_address   st tx_rx tr_when retrnsmt uid
   0: 0100007F:1F90 0200007F:0050 06 00:00 00:0000 00000000  1000
   1: 0100007F:1F90 00000000:0000 0A 00:00 00:0000 00000000  1000
   2: 00000000:1F91 00000000:0000 0A 00:00 00:0000 00000000     0
   3: 0300007F:1F90 00000000:0000 0A 00:00 00:0000 00000000     0
"""


def _settings(role: str, *, is_mesh: bool) -> Settings:
    ports = {'stream': 1, 'http': 2, 'ready': 3, 'targets': 4, 'metrics': 5}
    document = {
        'role': role,
        'id': 'p1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'service': 'forms',
        'data_dir': 'data',
        'control': ['127.0.0.1:6'],
        'peers': [],
        'listen': {name: f'127.0.0.1:{port}' for name, port in ports.items()},
    }
    if is_mesh:
        target = {'target_address': '127.0.0.1:7'}
        document['mesh'] = target
    return parse_settings(document, 'settings').ok


_DAMAGED_LINES = (
    'short',
    '0: x:y 0:0 0A',
    '0: 00000000000000000000:50 0:0 0A',
)


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)))


@pytest.mark.parametrize(
    ('role', 'is_mesh', 'ports'),
    [
        ('control', True, '12'),
        ('node', True, '1234'),
        ('control', False, '12'),
        ('node', False, '2'),
    ],
)
def test_every_role_holds_its_addresses(
    role: str,
    is_mesh: bool,
    ports: str,
) -> None:
    """Guards against an address that is found taken only after a process takes
    part, and one that is held though the role does not use it.
    """
    addresses = listened_addresses(_settings(role, is_mesh=is_mesh))
    found = sorted(address.rpartition(':')[2] for address in addresses)
    assert ''.join(found) == ports


def test_held_address_is_exclusive_and_refuses() -> None:
    """Guards against two processes that start at one address, and against
    connections that wait in the backlog of a process that does not serve yet.
    """
    address = free_address()
    hold_addresses([address], StartWait(0))
    with pytest.raises(OSError, match='Address already in use'):
        bind_as_another(address)
    with pytest.raises(ConnectionRefusedError):
        _connect(address)
    with listening_socket(address) as listening:
        listening.listen()
        _connect(address).close()


def bind_as_another(address: str) -> None:
    """Bind as another process does, which holds nothing."""
    host, _, port = address.rpartition(':')
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((host, int(port)))


def test_two_starts_at_one_moment_do_not_both_bind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends as it listens, since another one had
    bound its address at the same moment.
    """
    address = free_address()
    rivals = _Rivals(address, socket.socket.setsockopt)
    monkeypatch.setattr(
        socket.socket, 'setsockopt', lambda *args: rivals.set_option(*args)
    )
    hold_addresses([address], StartWait(0))
    assert rivals.refused
    assert not rivals.bound


class _Rivals:
    """Binds as another process before each change of an option.

    Parameters
    ----------
    address : str
        The address of both processes.
    set_option : callable
        Changes the option of a socket.
    """

    def __init__(self, address: str, set_option: Callable[..., None]) -> None:
        """Initialise before the first change."""
        self._address = address
        self._set_option = set_option
        self._is_rival = False
        self.bound = 0
        self.refused = 0

    def set_option(self, changed: socket.socket, *option: int) -> None:
        """Change the option of a socket, after another process has bound."""
        if changed.getsockname()[1] and not self._is_rival:
            self._is_rival = True
            self._bind()
        self._set_option(changed, *option)

    def _bind(self) -> None:
        try:
            bind_as_another(self._address)
        except OSError:
            self.refused += 1
        else:
            self.bound += 1


def test_open_connections_leave_the_address_free() -> None:
    """Guards against a successor that waits for the connections of the process
    before it, which accepted them at an address that it held.
    """
    address = free_address()
    hold_addresses([address], StartWait(0))
    with listening_socket(address) as listening:
        listening.listen()
        caller = _connect(address)
        listening.setblocking(True)
        accepted, _ = listening.accept()
    with caller, accepted, listening_socket(address) as next_one:
        next_one.listen()


def test_holders_are_named(tmp_path: Path) -> None:
    """Guards against a wait whose log line leaves out what it waits for."""
    table = tmp_path / 'tcp'
    table.write_text(_TABLE)
    assert find_holders('127.0.0.1:8080', table) == [
        'listener of user 1000',
        'connection to 127.0.0.2:80 (time-wait)',
    ]
    assert find_holders('127.0.0.1:8081', table) == ['listener of user 0']
    assert not find_holders('127.0.0.1:8082', table)
    assert not find_holders('127.0.0.1:8080', tmp_path / 'missing')


def test_lines_in_another_form_name_no_holder(tmp_path: Path) -> None:
    """Guards against a start that ends for a line of the kernel's table."""
    table = tmp_path / 'tcp'
    table.write_text('\n'.join(('heading', *_DAMAGED_LINES)))
    assert not find_holders('127.0.0.1:80', table)
