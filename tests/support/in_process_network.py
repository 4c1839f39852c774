"""Frame streams between servers in one process, without ports."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing, suppress

from mustardspur_core.wire import FrameStream

Serve = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class InProcessNetwork:
    """Servers by address, and a log of the connections opened to them."""

    def __init__(self) -> None:
        """Initialise a network without servers."""
        self.servers: dict[str, Serve] = {}
        self.opened: list[tuple[float, str]] = []

    @asynccontextmanager
    async def connect(
        self,
        address: str,
        timeout_s: float,
    ) -> AsyncIterator[FrameStream]:
        """Open a stream to a server, as a replacement for `connect_stream`."""
        now_s = asyncio.get_running_loop().time()
        self.opened.append((now_s, address))
        if address not in self.servers:
            raise ConnectionRefusedError(address)
        client_end, server_end = socket.socketpair()
        server = asyncio.create_task(
            self._serve(self.servers[address], server_end),
        )
        reader, writer = await asyncio.open_connection(sock=client_end)
        stream = FrameStream(reader, writer)
        try:
            yield stream
        finally:
            await _end(writer, server)

    async def exchange(self, address: str, sent: bytes) -> bytes:
        """Send bytes and EOF to a server; return all bytes received."""
        client_end, server_end = socket.socketpair()
        server = asyncio.create_task(
            self._serve(self.servers[address], server_end)
        )
        reader, writer = await asyncio.open_connection(sock=client_end)
        writer.write(sent)
        writer.write_eof()
        received = await reader.read()
        await _end(writer, server)
        return received

    async def _serve(self, serve: Serve, server_end: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=server_end)
        with closing(writer):
            await serve(reader, writer)


async def _end(
    writer: asyncio.StreamWriter,
    server: asyncio.Task[None],
) -> None:
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    server.cancel()
    await asyncio.gather(server, return_exceptions=True)
