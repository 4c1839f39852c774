"""Tests of starts at an address that something else still holds."""

import asyncio
import json
import signal
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, closing, contextmanager
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import pytest

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    POLL_S,
    Mesh,
    configuration,
    running_mesh,
)

_HOST: Final = '127.0.7.21'
_HELD_S: Final = 1.0
_ADDRESSES: Final = (
    ('node', 'stream'),
    ('node', 'http'),
    ('node', 'ready'),
    ('node', 'targets'),
    ('control', 'stream'),
    ('control', 'http'),
)
_LAST: Final = MappingProxyType({'node': 'ready', 'control': 'http'})


async def _start(mesh: Mesh, role: str) -> None:
    if role == 'node':
        await mesh.start_node(_HOST)
    else:
        await mesh.start_control(_HOST, first_start=True)


def _is_open(mesh: Mesh, port: str) -> bool:
    try:
        socket.create_connection((_HOST, mesh.ports[port])).close()
    except ConnectionRefusedError:
        return False
    return True


def _line(mesh: Mesh, message: str) -> dict[str, Any]:
    """Return the only log line with a message."""
    text = (mesh.folder / f'{_HOST}.log').read_text('utf-8')
    lines: list[dict[str, Any]] = list(map(json.loads, text.splitlines()))
    found = [line for line in lines if line['message'] == message]
    assert len(found) == 1
    return found[0]


@contextmanager
def _outgoing_connection(address: tuple[str, int]) -> Iterator[None]:
    """Hold an address as the local one of a connection to another server."""
    with ExitStack() as stack:
        server = stack.enter_context(socket.create_server((_HOST, 0)))
        remote = server.getsockname()
        connection = socket.create_connection(remote, source_address=address)
        stack.enter_context(closing(connection))
        # Closed by a reset, after which nothing is left of the connection.
        linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        yield


@asynccontextmanager
async def _waiting(mesh: Mesh, role: str, port: str) -> AsyncIterator[None]:
    """Start a process; check that it waits for a port and serves after it."""
    await _start(mesh, role)
    await mesh.until_logged(_HOST, 'start waits')
    yield
    await asyncio.sleep(_HELD_S)
    line = _line(mesh, 'start waits')
    assert line['needs'] == f'address {_HOST}:{mesh.ports[port]}'
    assert line['wait_s'] > 10
    assert not any(
        _is_open(mesh, other)
        for role_of, other in _ADDRESSES
        if role_of == role and other != port
    )
    # Neither a vote nor an entry.
    assert not list(mesh.launcher.data_dir(_HOST).glob('agreement/*'))
    assert mesh.processes[_HOST].returncode is None


async def _until_serving(mesh: Mesh, role: str) -> None:
    async with asyncio.timeout(HANG_LIMIT_S):
        while not _is_open(mesh, _LAST[role]):
            await asyncio.sleep(POLL_S)


async def _check_served(mesh: Mesh, role: str) -> None:
    await mesh.until_logged(_HOST, 'start continues')
    await _until_serving(mesh, role)
    assert await mesh.stop(_HOST) == 0


@pytest.mark.parametrize(('role', 'port'), _ADDRESSES)
async def test_start_waits_for_a_listener(
    role: str,
    port: str,
    tmp_path: Path,
) -> None:
    """Guards against a process that ends as one of its addresses is taken, or
    that takes part in the mesh while it cannot listen.
    """
    async with running_mesh(tmp_path) as mesh:
        with socket.create_server((_HOST, mesh.ports[port])):
            async with _waiting(mesh, role, port):
                held_by = _line(mesh, 'start waits')['held_by']
        assert held_by.startswith('listener of user ')
        await _check_served(mesh, role)


@pytest.mark.parametrize(('role', 'port'), [('node', 'http')])
async def test_start_waits_for_an_outgoing_connection(
    role: str,
    port: str,
    tmp_path: Path,
) -> None:
    """Guards against a process that ends as a connection to another server has
    its address.
    """
    async with running_mesh(tmp_path) as mesh:
        with _outgoing_connection((_HOST, mesh.ports[port])):
            async with _waiting(mesh, role, port):
                held_by = _line(mesh, 'start waits')['held_by']
        assert held_by.startswith('connection to ')
        await _check_served(mesh, role)


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_start_waits_for_a_frozen_process(
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a process that ends as the one before it is frozen and is
    killed only later.
    """
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh, role)
        await _until_serving(mesh, role)
        frozen = mesh.processes.pop(_HOST)
        frozen.send_signal(signal.SIGSTOP)
        await _start(mesh, role)
        await mesh.until_logged(_HOST, 'start waits')
        await asyncio.sleep(_HELD_S)
        frozen.kill()
        await frozen.wait()
        await _check_served(mesh, role)


@pytest.mark.parametrize('role', ['node', 'control'])
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
async def test_stop_signal_ends_a_waiting_start(
    role: str,
    number: signal.Signals,
    tmp_path: Path,
) -> None:
    """Guards against a waiting process that a stop signal does not end, or
    that ends with the exit code of a failure.
    """
    async with running_mesh(tmp_path) as mesh:
        with socket.create_server((_HOST, mesh.ports['stream'])):
            await _start(mesh, role)
            await mesh.until_logged(_HOST, 'start waits')
            process = mesh.processes.pop(_HOST)
            process.send_signal(number)
            assert await process.wait() == 0
        assert _line(mesh, 'stopped')['signal'] == number.name


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGKILL])
async def test_first_start_that_waits_is_remembered(
    number: signal.Signals,
    tmp_path: Path,
) -> None:
    """Guards against a first voter that knows no voters at its next start, as
    its process ended while it waited for an address at its first one.
    """
    async with running_mesh(tmp_path) as mesh:
        seeds = [f'{_HOST}:{mesh.ports["http"]}']
        with socket.create_server((_HOST, mesh.ports['stream'])):
            await mesh.start_control(_HOST, first_start=True, seeds=seeds)
            await mesh.until_logged(_HOST, 'start waits')
            process = mesh.processes.pop(_HOST)
            process.send_signal(number)
            await process.wait()
        await mesh.start_control(_HOST, first_start=False, seeds=seeds)
        await mesh.until(
            'PUT',
            mesh.url(_HOST, 'http', '/api/config'),
            json=configuration(1),
            headers={'If-Match': 'r0'},
        )


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_connections_of_the_killed_delay_no_start(
    role: str,
    tmp_path: Path,
) -> None:
    """Guards against a start that waits for connections which its former
    process had accepted.
    """
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh, role)
        await _until_serving(mesh, role)
        with ExitStack() as stack:
            for each, port in _ADDRESSES:
                if each == role:
                    address = (_HOST, mesh.ports[port])
                    stack.enter_context(socket.create_connection(address))
            await mesh.kill(_HOST)
            await _start(mesh, role)
            await _until_serving(mesh, role)
        text = (tmp_path / f'{_HOST}.log').read_text('utf-8')
        assert 'start waits' not in text
