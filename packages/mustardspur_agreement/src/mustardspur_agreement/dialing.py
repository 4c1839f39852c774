"""Connections to peers over TCP."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mustardspur_core.wire import FrameStream


@asynccontextmanager
async def dial_peer(
    address: str,
    timeout_s: float,
) -> AsyncIterator[FrameStream]:
    """Connect to ``ip:port`` for the duration of the block.

    Explanation
    ===========

    Unlike `connect_stream` it aborts the connection at the end instead of
    closing it, since a close waits until an unresponsive peer has received
    the unsent bytes.

    Raises
    ------
    OSError
        If the peer refuses the connection, or does not accept it within
        ``timeout_s`` seconds.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield FrameStream(reader, writer)
    finally:
        writer.transport.abort()
