"""Hostile clients of the processes of a mesh."""

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import Final

from tests.platform.crowds.floods import FLOODS_BY_NAME, UNREAD, Client
from tests.platform.crowds.limited_mesh import CONTROL, NODE
from tests.platform.mesh_processes import HANG_LIMIT_S, Mesh

CROWD: Final = 96
# A client stops when the process reads nothing for this time.
_STALL_S: Final = 1.0
_BUFFER_BYTES: Final = 65_536


class Listener:
    """An address of a process, and the request that clients make there."""

    __slots__ = ('host', 'method', 'path', 'port')

    def __init__(self, host: str, port: str, method: str, path: str) -> None:
        """Initialise with the name of the port in `Mesh.ports`."""
        self.host = host
        self.port = port
        self.method = method
        self.path = path


CALLERS: Final = Listener(NODE, 'http', 'POST', '/drafts/1')
READINESS: Final = Listener(NODE, 'ready', 'GET', '/api/readyz')
REPORTS: Final = Listener(NODE, 'targets', 'PUT', '/api/instances/i-hostile')
NODE_METRICS: Final = Listener(NODE, 'metrics', 'GET', '/metrics')
OPERATORS: Final = Listener(CONTROL, 'http', 'PUT', '/api/config')
CONTROL_METRICS: Final = Listener(CONTROL, 'metrics', 'GET', '/metrics')

NODE_LISTENERS: Final = (CALLERS, READINESS, REPORTS, NODE_METRICS)
CONTROL_LISTENERS: Final = (OPERATORS, CONTROL_METRICS)


@asynccontextmanager
async def hostile_crowd(
    mesh: Mesh, listeners: tuple[Listener, ...], name: str, size: int = CROWD
) -> AsyncIterator[None]:
    """Let hostile clients send all they have, and keep them connected."""
    share = size // len(listeners)
    clients = [
        (listener, number) for listener in listeners for number in range(share)
    ]
    async with AsyncExitStack() as stack:
        async with asyncio.timeout(HANG_LIMIT_S):
            await asyncio.gather(
                *(
                    _play(mesh, stack, listener, number, name)
                    for listener, number in clients
                ),
            )
        yield


async def _play(
    mesh: Mesh,
    stack: AsyncExitStack,
    listener: Listener,
    number: int,
    name: str,
) -> None:
    client = Client(listener.method, listener.path, number)
    address = (listener.host, mesh.ports[listener.port])
    with suppress(ConnectionError, TimeoutError):
        reader, writer = await connect(address)
        stack.callback(writer.close)
        if name not in UNREAD:
            reading = asyncio.create_task(discard(reader))
            stack.callback(reading.cancel)
        await send(writer, FLOODS_BY_NAME[name](client))


async def connect(
    address: tuple[str, int],
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with small buffers."""
    connected = socket.socket()
    connected.setblocking(False)
    # Otherwise the kernel would take in megabytes of answers and requests.
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    await asyncio.get_running_loop().sock_connect(connected, address)
    return await asyncio.open_connection(sock=connected)


async def send(
    writer: asyncio.StreamWriter, parts: Iterator[bytes], pause_s: float = 0
) -> None:
    """Send parts until the process reads no more.

    Raises
    ------
    ConnectionError, TimeoutError
        If the process closed the connection or stopped to read.
    """
    while part := next(parts, b''):
        writer.write(part)
        async with asyncio.timeout(_STALL_S):
            await writer.drain()
        await asyncio.sleep(pause_s)


async def discard(reader: asyncio.StreamReader) -> None:
    """Read all that arrives until the process closes the connection."""
    with suppress(ConnectionError):
        while not reader.at_eof():
            await reader.read(_BUFFER_BYTES)
