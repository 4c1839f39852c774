"""Counts the bytes that a process sends, by message type."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, Final

from mustardspur_core.wire import FrameStream

# Offset of the type code in a frame, after four bytes of length, the array
# header and the protocol version. Codes below 128 are one byte long.
_TYPE_CODE_OFFSET: Final = 6


class CountingWriter:
    """Writer that counts the bytes of each frame by its type code.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Receives the frames.
    counts : Counter
        Bytes by type code.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        counts: Counter[int],
    ) -> None:
        """Initialise as a wrapper of the writer."""
        self._writer = writer
        self._counts = counts

    def __getattr__(self, name: str) -> Any:
        """Delegate all other attributes to the writer."""
        return getattr(self._writer, name)

    def write(self, frame: bytes) -> None:
        """Count a frame and write it."""
        self._counts[frame[_TYPE_CODE_OFFSET]] += len(frame)
        self._writer.write(frame)


@asynccontextmanager
async def counted_stream(
    address: str,
    timeout_s: float,
    counts: Counter[int],
) -> AsyncIterator[FrameStream]:
    """Open a stream whose sent bytes are counted by type code.

    Raises
    ------
    TimeoutError
        If the connection takes longer than `timeout_s`.
    OSError
        If the connection fails.
    """
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
