"""Tests of the connections of callers over a pause of their node."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    HOST,
    Mesh,
    configuration,
    running_mesh,
    running_target,
)

_CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
_NODE: Final = '127.0.7.21'
_IDLE_S: Final = 2.0
_REQUEST: Final = (
    f'GET /drafts/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\n\r\n'.encode()
)

_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def _connected(folder: Path) -> AsyncIterator[tuple[Mesh, _Streams]]:
    """Run a node beside a target, with a connection of a caller."""
    document = configuration(1)
    document['limits']['idle_timeout'] = f'{_IDLE_S}s'
    async with running_mesh(folder) as mesh, running_target(mesh, _NODE):
        await asyncio.gather(
            mesh.start_node(_NODE),
            *(mesh.start_control(each, first_start=True) for each in _CONTROLS),
        )
        await mesh.until(
            'PUT',
            mesh.url(_CONTROLS[0], 'http', '/api/config'),
            json=document,
            headers={'If-Match': '0'},
        )
        await mesh.report(_NODE)
        url = mesh.url(_NODE, 'http', '/drafts/1')
        await mesh.until('GET', url, headers={'Host': HOST, 'Request-Id': 'a'})
        streams = await asyncio.open_connection(_NODE, mesh.ports['http'])
        yield mesh, streams
        streams[1].close()


async def _status(streams: _Streams) -> str:
    """Return the status of the next answer, empty if there is none."""
    async with asyncio.timeout(HANG_LIMIT_S):
        head = (await streams[0].read(4096)).decode()
    return head[9:12]


async def test_request_sent_in_a_pause_is_answered(tmp_path: Path) -> None:
    """Guards against a request that a paused node finds at a connection whose
    idle time has passed meanwhile, and that ends without an answer.
    """
    async with _connected(tmp_path) as (mesh, streams):
        streams[1].write(_REQUEST)
        assert await _status(streams) == '200'
        await asyncio.sleep(_IDLE_S / 4)
        mesh.processes[_NODE].send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        streams[1].write(_REQUEST)
        await asyncio.sleep(_IDLE_S)
        mesh.processes[_NODE].send_signal(signal.SIGCONT)
        assert await _status(streams) == '200'
