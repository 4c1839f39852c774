"""A node with stand-in targets, all in one event loop, for tests."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import Any

from aiohttp import ClientSession, web
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.timeline import Timeline
from mustardspur_node.calls import CallForwarder, run_forwarder
from mustardspur_node.views import ServiceView
from yarl import URL

from tests.node.stand_ins.views import Outcomes, Views, make_settings

HANG_S = 10
READ_BYTES = 65536
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def run_target(handler: Handler) -> AsyncIterator[str]:
    """Run an HTTP target and yield its address."""
    runner = web.ServerRunner(
        web.Server(handler, handler_cancellation=True),
        shutdown_timeout=0.1,
    )
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    try:
        yield '{}:{}'.format(*runner.addresses[0])
    finally:
        await runner.cleanup()


RawHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


@asynccontextmanager
async def run_raw_target(handler: RawHandler) -> AsyncIterator[str]:
    """Run a target whose handler writes raw bytes; yield its address."""
    server = await asyncio.start_server(handler, '127.0.0.1', 0)
    try:
        yield '{}:{}'.format(*server.sockets[0].getsockname())
    finally:
        server.close()


class Mesh:
    """A running node and an HTTP client of it."""

    def __init__(
        self,
        forwarder: CallForwarder,
        address: str,
        client: ClientSession,
        views: Views,
        outcomes: Outcomes,
    ) -> None:
        """Initialise with a running forwarder and its client."""
        self.forwarder = forwarder
        self.address = address
        self.client = client
        self.views = views
        self.outcomes = outcomes

    async def call(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> tuple[int, str | None, bytes]:
        """Return the status, outcome header and body of an answer."""
        url = URL(f'http://{self.address}{path}', encoded=True)
        async with self.client.request(method, url, **options) as answer:
            outcome = answer.headers.get('x-mustardspur-outcome')
            return answer.status, outcome, await answer.read()

    async def repeat(
        self,
        count: int,
        method: str,
        path: str,
        **options: Any,
    ) -> list[tuple[int, str | None, bytes]]:
        """Return the answers to a number of sequential calls."""
        answers: list[tuple[int, str | None, bytes]] = []
        while len(answers) < count:
            answers.append(await self.call(method, path, **options))
        return answers

    async def raw(self, sent: bytes) -> bytes:
        """Send bytes and return all that the node sends until it closes."""
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        async with asyncio.timeout(HANG_S):
            received = await read_to_end(reader)
        writer.close()
        return received

    async def send_and_close(self, sent: bytes) -> None:
        """Send bytes and close the connection without reading."""
        host, _, port = self.address.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        await writer.drain()
        writer.close()
        await writer.wait_closed()


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Return all bytes up to the end or the reset of a connection."""
    parts = []
    # The bytes received before a reset are returned as well.
    with suppress(ConnectionResetError):
        while part := await reader.read(READ_BYTES):
            parts.append(part)
    return b''.join(parts)


@asynccontextmanager
async def run_mesh(
    view: ServiceView,
    drain_s: float = 3.0,
    **settings: Any,
) -> AsyncIterator[Mesh]:
    """Run a node with one service view and yield it with a client."""
    views = Views(lens_bench=view)
    outcomes = Outcomes()
    forwarder = CallForwarder(
        make_settings(**settings),
        views,
        outcomes,
        NullMetrics(),
        Timeline('n1', 'erie-toledo', None),
    )
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(
            run_forwarder(forwarder, '127.0.0.1:0', drain_s),
        )
        client = await stack.enter_async_context(ClientSession())
        yield Mesh(forwarder, address, client, views, outcomes)
