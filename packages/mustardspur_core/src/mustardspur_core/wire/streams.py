"""Length-prefixed frames over a TCP connection."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_core.wire.codec import (
    Frame,
    MalformedFrame,
    decode_frame,
    encode_frame,
)

LENGTH_BYTES: Final = 4
CLOSE_TIMEOUT_S: Final = 0.5
MAX_FRAME_BYTES: Final = 4 * BYTES_PER_MIB
# Frames of a stream that are handled in one iteration of the event loop. One
# read can bring ten thousand small ones, and each takes 20 us and more.
FRAMES_PER_TURN: Final = 32


class FrameStream:
    """Stream of frames over one connection that counts its bytes.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Receiving side of the connection.
    writer : asyncio.StreamWriter
        Sending side of the connection.

    Attributes
    ----------
    greeting_id : int
        Request identifier of the first frame of an accepted stream, by which
        the sender states what it accepts.
    """

    __slots__ = (
        '_left_in_turn',
        '_reader',
        '_writer',
        'greeting_id',
        'peer_address',
        'received_bytes',
        'sent_bytes',
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Initialise a stream over an open connection."""
        self._left_in_turn = FRAMES_PER_TURN
        self._reader = reader
        self._writer = writer
        # uvloop no longer returns the address once the connection is closed.
        self.peer_address = _peer_address(writer)
        self.greeting_id = 0
        self.received_bytes = 0
        self.sent_bytes = 0

    def enqueue(self, body: Record, request_id: int = 0) -> None:
        """Queue a message for sending without waiting."""
        self.enqueue_encoded(encode_frame(body, request_id))

    def enqueue_encoded(self, encoded: bytes) -> None:
        """Queue an encoded frame, so that many peers can share one encoding."""
        if self._writer.is_closing():
            # `receive` reports the end of the connection; uvloop raises
            # RuntimeError on a write to a closed transport.
            return
        prefix = len(encoded).to_bytes(LENGTH_BYTES, 'big')
        self._writer.write(prefix + encoded)
        self.sent_bytes += LENGTH_BYTES + len(encoded)

    async def send(self, body: Record, request_id: int = 0) -> None:
        """Send a message and wait until the write buffer is below its limit.

        Raises
        ------
        ConnectionError
            If the connection is lost.
        """
        self.enqueue(body, request_id)
        await self._writer.drain()

    def limit_unsent(self, size: int) -> None:
        """Limit the bytes that the socket takes and has not sent yet.

        `send` and `drain` then wait until the write buffer is empty, so that
        a sender of many frames does not fill buffers ahead of other frames.
        """
        self._writer.transport.set_write_buffer_limits(high=0)
        connected = self._writer.get_extra_info('socket')
        # A socket of another family than TCP has no such limit.
        with suppress(OSError):
            connected.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NOTSENT_LOWAT,
                size,
            )

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer, which the peer has not taken."""
        transport = self._writer.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self._writer.drain()

    async def receive(self, limit: int = MAX_FRAME_BYTES) -> Frame:
        """Wait for the next frame.

        Parameters
        ----------
        limit : int, optional
            Longest frame in bytes.

        Raises
        ------
        asyncio.IncompleteReadError
            If the peer closed the connection between two frames.
        MalformedFrame
            If the frame is too long, truncated or invalid.
        """
        if not self._left_in_turn:
            # Frames that have arrived are read without a wait, so that other
            # tasks would not run before the last of them is handled.
            await asyncio.sleep(0)
            self._left_in_turn = FRAMES_PER_TURN
        self._left_in_turn -= 1
        prefix = await self._read(LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        if length > limit:
            raise MalformedFrame(
                'length',
                f'{length} bytes, at most {limit}',
            )
        encoded = await self._read(length)
        self.received_bytes += LENGTH_BYTES + length
        return decode_frame(encoded)

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()

    async def _read(self, length: int) -> bytes:
        try:
            return await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            if not error.partial and length == LENGTH_BYTES:
                raise
            found = len(error.partial)
            detail = f'{found} of {length} bytes'
            raise MalformedFrame('truncated', detail) from error


def _peer_address(writer: asyncio.StreamWriter) -> str:
    peername = writer.get_extra_info('peername')
    return f'{peername[0]}:{peername[1]}' if peername else 'unknown'


@asynccontextmanager
async def connect_stream(
    address: str,
    timeout_s: float,
) -> AsyncIterator[FrameStream]:
    """Connect to ``ip:port`` and close the stream at the end.

    Raises
    ------
    OSError
        If the peer refuses the connection or is unreachable.
    TimeoutError
        If the peer does not answer within ``timeout_s`` seconds.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
    stream = FrameStream(reader, writer)
    try:
        yield stream
    finally:
        stream.close()
        await _close_or_abort(writer)


async def _close_or_abort(writer: asyncio.StreamWriter) -> None:
    # If the peer has disappeared silently, the kernel would keep a connection
    # with unsent bytes for a quarter of an hour.
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await writer.wait_closed()
    except (OSError, TimeoutError):
        writer.transport.abort()
