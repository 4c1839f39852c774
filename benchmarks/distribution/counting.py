"""Counts of the bytes that a process sends, by type of message."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final

from mustardspur_core.wire import FrameStream

# Place of the type code in a frame: four bytes of length, the head of the
# array, the protocol version, then the code, which is one byte below 128.
_CODE_PLACE: Final = 6


class CountingWriter:
    """Writer that counts each frame under its type code."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        counts: Counter[int],
    ) -> None:
        """Wrap a writer."""
        self._writer = writer
        self._counts = counts

    def __getattr__(self, name: str) -> Any:
        """Pass everything else to the writer."""
        return getattr(self._writer, name)

    def write(self, frame: bytes) -> None:
        """Count a frame and write it."""
        self._counts[frame[_CODE_PLACE]] += len(frame)
        self._writer.write(frame)


@asynccontextmanager
async def counted_stream(
    address: str,
    timeout_s: float,
    counts: Counter[int],
) -> AsyncIterator[FrameStream]:
    """Open a stream whose sent frames are counted."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
    counted: Any = CountingWriter(writer, counts)
    try:
        yield FrameStream(reader, counted)
    finally:
        writer.close()
        with suppress(OSError):
            await writer.wait_closed()
