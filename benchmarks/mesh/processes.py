"""Runs a control instance, two nodes and a target."""

import asyncio
import json
import socket
import sys
from collections import deque
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any

from aiohttp import ClientError, ClientSession, web
from mustardspur_core.http_serving import serving_app
from mustardspur_node.paths import ANNOUNCEMENTS_PATH, READY_PATH

from benchmarks.capacity.processes import read_usage
from benchmarks.mesh.calling import Call

BINARY = Path(sys.executable).parent / 'mustardspurd'
POLL_S = 0.05
CONTROL_HOST = '127.0.6.1'
LOCAL_HOST = '127.0.6.2'
REMOTE_HOST = '127.0.6.3'
_PORTS = ('stream', 'http', 'ready', 'targets', 'target')
_HEADERS = MappingProxyType({'Host': 'forms.example', 'x-request-id': 'r'})
_STATUS_OK = 200


class BenchMesh:
    """Running processes and the paths over which to call the target.

    Parameters
    ----------
    session : ClientSession
        Session for all requests.
    ports : dict of int
        Ports by name, the same on all addresses.
    link_mbps : float
        Bandwidth that is stated to the nodes, 0 for none.
    """

    def __init__(
        self,
        session: ClientSession,
        ports: dict[str, int],
        link_mbps: float,
    ) -> None:
        """Initialise without process identifiers."""
        self.session = session
        self.ports = ports
        self.link_mbps = link_mbps
        self.node_pids: list[int] = []

    def direct(self) -> Call:
        """Return a call to the target without a node."""
        return self._call(LOCAL_HOST, 'target')

    def through_one_node(self) -> Call:
        """Return a call through the node of the target."""
        return self._call(LOCAL_HOST, 'http')

    def through_two_nodes(self) -> Call:
        """Return a call through both nodes, from the remote one."""
        return self._call(REMOTE_HOST, 'http')

    def cpu_s(self) -> float:
        """Return the processor time that both nodes used, in seconds."""
        return sum(read_usage(pid).cpu_s for pid in self.node_pids)

    def url(self, host: str, port: str, path: str) -> str:
        """Return the URL of a path at a host and a named port."""
        return f'http://{host}:{self.ports[port]}{path}'

    async def wait_until_ok(
        self, method: str, url: str, **options: Any
    ) -> None:
        """Repeat a request until its status is 200."""
        while await self._status(method, url, options) != _STATUS_OK:
            await asyncio.sleep(POLL_S)

    def _call(self, host: str, port: str) -> Call:
        url = self.url(host, port, '/drafts/1')
        return partial(self._status, 'GET', url, {'headers': _HEADERS})

    async def _status(
        self,
        method: str,
        url: str,
        options: dict[str, Any],
    ) -> int:
        try:
            async with self.session.request(method, url, **options) as answer:
                await answer.read()
                return answer.status
        except ClientError:
            # The process is not listening yet.
            return 0


@asynccontextmanager
async def running_mesh(
    folder: Path,
    link_mbps: float = 0,
) -> AsyncIterator[BenchMesh]:
    """Yield a mesh whose target can be reached through both nodes."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        ports = dict(zip(_PORTS, _free_ports(), strict=True))
        mesh = BenchMesh(session, ports, link_mbps)
        app = web.Application()
        app.router.add_get('/drafts/{number}', _answer)
        app.router.add_get('/health', _answer)
        app.router.add_post('/uploads/{number}', _receive)
        target = f'{LOCAL_HOST}:{mesh.ports["target"]}'
        await stack.enter_async_context(serving_app(app, target))
        await stack.enter_async_context(_daemon(folder, _control(mesh)))
        for host in (LOCAL_HOST, REMOTE_HOST):
            pid = await stack.enter_async_context(
                _daemon(folder, _node(mesh, host, target)),
            )
            mesh.node_pids.append(pid)
        await _wait_until_ready(mesh, target)
        yield mesh


async def _wait_until_ready(mesh: BenchMesh, target: str) -> None:
    await mesh.wait_until_ok(
        'PUT',
        mesh.url(CONTROL_HOST, 'http', '/v1/table'),
        json={'base': 0, 'table': _table()},
    )
    await mesh.wait_until_ok('GET', mesh.url(LOCAL_HOST, 'ready', READY_PATH))
    await mesh.wait_until_ok(
        'POST',
        mesh.url(LOCAL_HOST, 'targets', ANNOUNCEMENTS_PATH),
        json={
            'id': 't1',
            'service': 'forms',
            'version': 'v1',
            'address': target,
            'slots': 9,
            'state': 'ready',
            'cold_ms': 0,
            'sequence': 1,
            'born': 1,
        },
    )
    for host in (LOCAL_HOST, REMOTE_HOST):
        url = mesh.url(host, 'http', '/drafts/1')
        await mesh.wait_until_ok('GET', url, headers=_HEADERS)


async def _answer(request: web.Request) -> web.Response:
    # Health checks have no identifier.
    request_id = request.headers.get('x-request-id', '')
    return web.Response(body=b'x' * 1000, headers={'x-request-id': request_id})


async def _receive(request: web.Request) -> web.Response:
    received = [len(part) async for part in request.content.iter_any()]
    request_id = request.headers['x-request-id']
    return web.Response(
        text=str(sum(received)), headers={'x-request-id': request_id}
    )


def _control(mesh: BenchMesh) -> dict[str, Any]:
    return {
        'role': 'control',
        'id': CONTROL_HOST,
        'peers': [],
        'listen': _listen(mesh, CONTROL_HOST, _PORTS[:2]),
        'mesh': {**_seeds(mesh), 'first_start': True},
    }


def _node(mesh: BenchMesh, host: str, target: str) -> dict[str, Any]:
    return {
        'role': 'node',
        'id': host,
        'service': 'forms',
        'listen': _listen(mesh, host, _PORTS[:4]),
        'mesh': {
            **_seeds(mesh),
            'target_address': target,
            'link_mbps': mesh.link_mbps,
        },
    }


def _seeds(mesh: BenchMesh) -> dict[str, Any]:
    return {'seeds': [f'{CONTROL_HOST}:{mesh.ports["http"]}']}


def _listen(
    mesh: BenchMesh,
    host: str,
    names: tuple[str, ...],
) -> dict[str, str]:
    return {name: f'{host}:{mesh.ports[name]}' for name in names}


@asynccontextmanager
async def _daemon(
    folder: Path,
    document: dict[str, Any],
) -> AsyncIterator[int]:
    name = document['id']
    location = {'data_centre': 'split-a', 'region': 'dalmacija'}
    if document['role'] == 'control':
        location['data_dir'] = str(folder / name)
    path = folder / f'{name}.json'
    path.write_text(json.dumps(document | location), encoding='utf-8')
    process = await asyncio.create_subprocess_exec(
        str(BINARY),
        '--settings',
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        yield process.pid
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def _free_ports() -> list[int]:
    probes = [socket.create_server(('0.0.0.0', 0)) for _ in _PORTS]
    ports = [probe.getsockname()[1] for probe in probes]
    deque(map(socket.socket.close, probes), maxlen=0)
    return ports


def _table() -> dict[str, Any]:
    return {
        'number': 1,
        'routes': {
            'drafts': {
                'name': 'drafts',
                'host': 'forms.example',
                'path_prefix': '/drafts/',
                'idempotent': True,
                'timeout_ms': 2000,
                'objective_ms': 400,
                'priority': 1,
                'max_attempts': 2,
                'shares': [{'service': 'forms', 'weight': 100}],
            },
            'uploads': {
                'name': 'uploads',
                'host': 'forms.example',
                'path_prefix': '/uploads/',
                'idempotent': False,
                'timeout_ms': 6000,
                'objective_ms': 5000,
                'priority': 2,
                'max_attempts': 2,
                'shares': [{'service': 'forms', 'weight': 100}],
            },
        },
        'services': {
            'forms': {
                'name': 'forms',
                'health_path': '/health',
                'max_connections': 100,
            },
        },
        'limits': {
            'header_bytes': 16384,
            'body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
