"""A mesh of real processes that may use little memory, and what they use."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientSession, TCPConnector, web
from mustardspur_core.units import BYTES_PER_KIB

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    HOST,
    Mesh,
    configuration,
    running_mesh,
)

CONTROL: Final = '127.0.7.1'
NODE: Final = '127.0.7.21'
# Lowered limits of each process. All bounds of the tests are these.
MEMORY_MIB: Final = 128
MAX_DESCRIPTORS: Final = 4096
MAX_HEADER_BYTES: Final = 16_384
MAX_BODY_BYTES: Final = 4_194_304
ROUTE_TIMEOUT: Final = '6s'
# Large enough that unread configurations fill the buffers of a connection.
ROUTES: Final = 300
# Of the target, so that the calls of a crowd run at once.
SLOTS: Final = 50
_POLL_S: Final = 0.01


class Usage:
    """What a process has used, and whether it was killed for it."""

    __slots__ = ('descriptors', 'killed', 'peak_mib')

    def __init__(self) -> None:
        """Initialise before the first reading."""
        self.peak_mib: float = 0
        self.descriptors = 0
        self.killed = asyncio.Event()

    @property
    def is_killed(self) -> bool:
        """Whether the process was killed for its memory."""
        return self.killed.is_set()

    def check(self) -> None:
        """Check that the process lives and stayed within its limits."""
        assert not self.is_killed, f'killed at {self.peak_mib:.0f} MiB'
        assert self.peak_mib < MEMORY_MIB
        assert self.descriptors < MAX_DESCRIPTORS

    def read(self, pid: int) -> None:
        """Read the highest resident memory and the open descriptors."""
        process = Path('/proc', str(pid))
        status = (process / 'status').read_text('utf-8')
        peak_kib = int(status.partition('VmHWM:')[2].split()[0])
        self.peak_mib = peak_kib / BYTES_PER_KIB
        count = len(list((process / 'fd').iterdir()))
        self.descriptors = max(self.descriptors, count)


@asynccontextmanager
async def watched(
    mesh: Mesh, host: str, memory_mib: int = MEMORY_MIB
) -> AsyncIterator[Usage]:
    """Kill a process that exceeds its memory, as the platform does."""
    usage = Usage()
    watch = asyncio.create_task(_watch(mesh, host, usage, memory_mib))
    try:
        yield usage
    finally:
        watch.cancel()
        with suppress(asyncio.CancelledError):
            await watch
    if not usage.is_killed:
        usage.read(mesh.processes[host].pid)


async def _watch(mesh: Mesh, host: str, usage: Usage, memory_mib: int) -> None:
    while True:
        usage.read(mesh.processes[host].pid)
        if usage.peak_mib >= memory_mib:
            await mesh.kill(host)
            usage.killed.set()
            return
        await asyncio.sleep(_POLL_S)


def limited_configuration(number: int, routes: int = ROUTES) -> dict[str, Any]:
    """Return a configuration with lowered limits and many routes."""
    document = configuration(number)
    document['limits'] |= {
        'max_header_bytes': MAX_HEADER_BYTES,
        'max_body_bytes': MAX_BODY_BYTES,
    }
    route = document['routes']['drafts']
    route['timeout'] = ROUTE_TIMEOUT
    document['routes'] |= {
        f'route-{each}': {**route, 'path_prefix': f'/path-{each}/'}
        for each in range(routes - 1)
    }
    return document


@asynccontextmanager
async def limited_mesh(
    folder: Path,
    answer_bytes: int = 1000,
    descriptors: int = MAX_DESCRIPTORS,
    memory_mib: int = MEMORY_MIB,
) -> AsyncIterator[Mesh]:
    """Run a control instance, a node and its target, all of them in use."""
    async with (
        running_mesh(folder) as mesh,
        _running_target(mesh, answer_bytes),
        AsyncExitStack() as stack,
    ):
        await use_new_connections(mesh, stack)
        mesh.launcher.supervisor = ('prlimit', f'--nofile={descriptors}')
        settings = limited_settings(mesh, memory_mib)
        await mesh.start_control(CONTROL, first_start=True, **settings)
        await mesh.start_node(NODE, **settings)
        await put_configuration(mesh, limited_configuration(1))
        await _ask(mesh, NODE)
        yield mesh


async def use_new_connections(mesh: Mesh, stack: AsyncExitStack) -> None:
    """Let each request of the mesh's session have a connection of its own.

    Ordinary clients have no connection from before.
    """
    connector = TCPConnector(force_close=True)
    mesh.session = await stack.enter_async_context(
        ClientSession(connector=connector),
    )


def limited_settings(mesh: Mesh, memory_mib: int) -> dict[str, Any]:
    """Return settings of the mesh for a process that may use little memory."""
    seed = mesh.ports['http']
    return {'seeds': [f'{CONTROL}:{seed}'], 'memory_mb': memory_mib}


async def put_configuration(mesh: Mesh, document: dict[str, Any]) -> None:
    """Put a configuration on top of the one before it until it is accepted."""
    before = int(document['version'][1:]) - 1
    await mesh.until(
        'PUT',
        mesh.url(CONTROL, 'http', '/api/config'),
        json=document,
        headers={'If-Match': f'r{before}'},
    )


async def ordinary_requests(mesh: Mesh, host: str, usage: Usage) -> None:
    """Make a request at each address of a process until all have status 200.

    Ends early if the process is killed.
    """
    asking = asyncio.create_task(_ask(mesh, host))
    killed = asyncio.create_task(usage.killed.wait())
    await asyncio.wait((asking, killed), return_when=asyncio.FIRST_COMPLETED)
    killed.cancel()
    if usage.is_killed:
        asking.cancel()
    else:
        await asking


async def _ask(mesh: Mesh, host: str) -> None:
    answers = [mesh.until('GET', mesh.url(host, 'metrics', '/metrics'))]
    if host == CONTROL:
        answers.append(
            mesh.until('GET', mesh.url(host, 'http', '/api/config')),
        )
    else:
        answers.append(
            mesh.until('GET', mesh.url(host, 'ready', '/api/readyz'))
        )
        answers.append(_call(mesh))
    await asyncio.gather(*answers)


async def _call(mesh: Mesh) -> bytes:
    await mesh.report(NODE, slots=SLOTS)
    headers = {
        'Host': HOST,
        'Request-Id': 'ordinary',
        'Deadline-Ms': '6000',
    }
    return await mesh.until(
        'GET', mesh.url(NODE, 'http', '/drafts/1'), headers=headers
    )


@asynccontextmanager
async def _running_target(mesh: Mesh, answer_bytes: int) -> AsyncIterator[None]:
    handler = partial(_serve_target, answer_bytes)
    # As many headers as a call may have.
    server = web.Server(handler, max_headers=MAX_HEADER_BYTES)
    runner = web.ServerRunner(server)
    await runner.setup()
    try:
        await web.TCPSite(runner, NODE, mesh.ports['target']).start()
        yield
    finally:
        # A call that hangs does not hold up the end of a test.
        async with asyncio.timeout(HANG_LIMIT_S):
            await runner.cleanup()


async def _serve_target(
    answer_bytes: int, request: web.BaseRequest
) -> web.Response:
    async for _ in request.content.iter_any():
        """Reads the body without keeping it."""
    headers = {
        'Request-Id': request.headers.get('Request-Id', ''),
        'Response-Signature': 'signed',
    }
    return web.Response(body=bytes(answer_bytes), headers=headers)
