"""A TCP pipe with the delay and the rate of a paid link."""

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
    """Forwards connections to an address, with delay, and counts bytes.

    Parameters
    ----------
    address : str
        Where to forward to.
    counts : Counter
        Bytes by ``out`` and ``back``.
    """

    def __init__(self, address: str, counts: Counter[str]) -> None:
        """Prepare without listening."""
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
            far = await asyncio.open_connection(host, int(port))
            await run_until_first_end(
                self._forward(reader, far[1], 'out'),
                self._forward(far[0], writer, 'back'),
            )
            far[1].close()
        writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if not chunk:
                return
            self._counts[direction] += len(chunk)
            free_at = max(free_at, loop.time()) + len(chunk) / LINK_BYTES_PER_S
            loop.call_at(free_at + ONE_WAY_DELAY_S, _write, writer, chunk)


def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    if not writer.is_closing():
        writer.write(chunk)
