"""Tests of processes whose callers use up their descriptors."""

import asyncio
import resource
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

import pytest

from tests.platform.mesh_processes import (
    HOST,
    Mesh,
    body_of,
    configuration,
    running_mesh,
    running_target,
)

_CONTROL: Final = '127.0.7.1'
_NODE: Final = '127.0.7.21'
_LIMIT: Final = 128
_CALLS: Final = 3
_RUN_S: Final = 0.2
# At which no file can be opened.
_LEAST_LIMIT: Final = 3
_CALL: Final = (
    f'GET /drafts/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r2\r\n\r\n'.encode()
)
_ANSWER_BYTES: Final = 4096


def _limit_descriptors(mesh: Mesh, host: str, limit: int) -> None:
    pid = mesh.processes[host].pid
    _, highest = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, highest))


@asynccontextmanager
async def _serving_mesh(folder: Path) -> AsyncIterator[Mesh]:
    """Run a control instance, a node and its target, with few descriptors."""
    async with (
        running_mesh(folder) as mesh,
        running_target(mesh, _NODE, _RUN_S),
    ):
        mesh.launcher.supervisor = ('prlimit', f'--nofile={_LIMIT}')
        seeds = [f'{_CONTROL}:{mesh.ports["http"]}']
        await mesh.start_control(_CONTROL, first_start=True, seeds=seeds)
        await mesh.start_node(_NODE, seeds=seeds)
        await mesh.until(
            'PUT',
            mesh.url(_CONTROL, 'http', '/api/config'),
            json=configuration(1),
            headers={'If-Match': 'r0'},
        )
        await mesh.report(_NODE)
        await mesh.until(
            'GET',
            mesh.url(_NODE, 'http', '/drafts/1'),
            headers={'Host': HOST, 'Request-Id': 'r0'},
        )
        yield mesh


async def _status_of_a_call(mesh: Mesh) -> int:
    async with mesh.call(_NODE) as response:
        status: int = response.status
        return status


async def _first_line(host: str, port: int) -> bytes:
    """Return the first line of the answer to a call on a new connection."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(_CALL)
    try:
        answer = await reader.read(_ANSWER_BYTES)
    except ConnectionResetError:
        return b''
    finally:
        writer.close()
    return answer.partition(b'\r\n')[0]


@asynccontextmanager
async def _held_connections(
    host: str, port: int, count: int
) -> AsyncIterator[None]:
    """Hold open connections that send nothing."""
    pairs = await asyncio.gather(
        *[asyncio.open_connection(host, port) for _ in range(count)],
    )
    try:
        yield
    finally:
        for _, writer in pairs:
            writer.close()


async def test_callers_leave_descriptors_for_their_calls(
    tmp_path: Path,
) -> None:
    """Guards against a node that its callers leave without a descriptor for
    its target, so that it serves none of them, and against connections that
    are closed without an answer.
    """
    async with _serving_mesh(tmp_path) as mesh:
        port = mesh.ports['http']
        # A caller that is there before the others.
        reader, writer = await asyncio.open_connection(_NODE, port)
        async with _held_connections(_NODE, port, 2 * _LIMIT):
            writer.write(_CALL)
            answer = await reader.read(_ANSWER_BYTES)
            assert answer.startswith(b'HTTP/1.1 200')
            # Those that have sent nothing for a second give way.
            await asyncio.sleep(1.5)
            assert (await _first_line(_NODE, port)).startswith(b'HTTP/1.1 200')
            await mesh.until('GET', mesh.url(_NODE, 'ready', '/api/readyz'))
        writer.close()
        # The closed connections are noticed soon.
        await asyncio.sleep(1)
        async with mesh.call(_NODE) as response:
            status, _, signature = await body_of(response)
        assert (status, signature) == (200, f'signed by {_NODE}')


@pytest.mark.parametrize('port', ['http', 'ready', 'targets'])
async def test_other_clients_leave_descriptors(
    port: str, tmp_path: Path
) -> None:
    """Guards against a control instance that cannot write its log, and a node
    that cannot reach its target, as clients of another interface take all
    descriptors.
    """
    async with _serving_mesh(tmp_path) as mesh:
        host = _CONTROL if port == 'http' else _NODE
        order = mesh.session.put(
            mesh.url(_CONTROL, 'http', '/api/config'),
            json=configuration(2),
            headers={'If-Match': 'r1'},
        )
        async with _held_connections(host, mesh.ports[port], 2 * _LIMIT):
            # The session has a connection from before.
            async with order as ordered:
                assert ordered.status == 200
            # They need further connections to the node and to the target.
            calls = [_status_of_a_call(mesh) for _ in range(_CALLS)]
            assert await asyncio.gather(*calls) == [200, 200, 200]


async def test_unreadable_settings_are_read_again(
    tmp_path: Path,
) -> None:
    """Guards against a change of settings that is lost, as no descriptor was
    left when it was read.
    """
    async with _serving_mesh(tmp_path) as mesh:
        _limit_descriptors(mesh, _NODE, _LEAST_LIMIT)
        mesh.processes[_NODE].send_signal(signal.SIGHUP)
        await mesh.until_logged(_NODE, 'settings not reloaded')
        _limit_descriptors(mesh, _NODE, _LIMIT)
        await mesh.until_logged(_NODE, 'settings reloaded')
