"""TCP forwarder with the delay and the data rate of a paid link."""

import asyncio
from collections import Counter
from contextlib import suppress

from mustardspur_core.tasks import run_until_first_end

from benchmarks.distribution.topology import (
    LINK_BYTES_PER_S,
    ONE_WAY_DELAY_S,
)

_CHUNK_BYTES = 65536


class DelayPipe:
    """Forwards connections to an address with delay and counts the bytes.

    Parameters
    ----------
    address : str
        Address to connect to.
    counts : Counter
        Bytes by direction, ``out`` or ``back``.
    """

    def __init__(self, address: str, counts: Counter[str]) -> None:
        """Initialise without listening."""
        self._address = address
        self._counts = counts

    async def listen(self) -> str:
        """Listen on a free port and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = self._address.rpartition(':')
        with suppress(OSError, asyncio.CancelledError):
            upstream = await asyncio.open_connection(host, int(port))
            await run_until_first_end(
                self._forward(reader, upstream[1], 'out'),
                self._forward(upstream[0], writer, 'back'),
            )
            upstream[1].close()
        writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        link_free_at = loop.time()
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if not chunk:
                return
            self._counts[direction] += len(chunk)
            link_free_at = (
                max(link_free_at, loop.time()) + len(chunk) / LINK_BYTES_PER_S
            )
            loop.call_at(link_free_at + ONE_WAY_DELAY_S, _write, writer, chunk)


def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    if not writer.is_closing():
        writer.write(chunk)
