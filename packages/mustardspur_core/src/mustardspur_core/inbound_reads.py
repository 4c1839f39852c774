"""Bounded reads in front of a protocol."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from mustardspur_core.read_turns import COSTLY_LINES, ReadTurns

# Bytes of one read. A protocol of uvloop that has no buffer of its own gets up
# to 256 KiB at once, which may hold thousands of requests.
READ_BYTES: Final = 16_384
MAX_READ_BYTES: Final = 65_536
# Bytes of a costly read that are handled in one turn.
TURN_BYTES: Final = 4096

# What is read is copied before the next read, so one buffer serves all.
_BUFFER: Final = memoryview(bytearray(MAX_READ_BYTES))


class InboundReads(asyncio.BufferedProtocol):
    """Passes on what it receives in small reads, and in turns.

    Explanation
    ===========

    A read with many lines waits for its turn among those of all connections.
    Reading pauses meanwhile, and as long as the protocol behind pauses it.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Receives the bytes.
    turns : ReadTurns
        Turns of all connections that share them.
    line_end : bytes
        End of a line that is costly to parse.
    read_bytes : int
        Bytes of one read, at most `MAX_READ_BYTES`.
    """

    __slots__ = (
        '_buffer',
        '_ended',
        '_line_end',
        '_lost',
        '_protocol',
        '_receive',
        '_transport',
        '_turns',
        '_unhandled',
    )

    def __init__(
        self,
        protocol: Any,
        turns: ReadTurns,
        line_end: bytes = b'\n',
        read_bytes: int = READ_BYTES,
    ) -> None:
        """Initialise without a connection."""
        self._protocol = protocol
        self._receive: Callable[[bytes], None] = protocol.data_received
        self._turns = turns
        self._buffer = _BUFFER[:read_bytes]
        self._line_end = line_end
        self._transport: PausableTransport | None = None
        # Read and not passed on yet.
        self._unhandled = b''
        self._ended = False
        self._lost = False

    def connection_made(self, transport: Any) -> None:
        """Pass on a transport of which reading can be paused twice."""
        self._transport = PausableTransport(transport)
        self._protocol.connection_made(self._transport)

    def get_buffer(self, _: int) -> memoryview:  # noqa: WPS615
        """Return the buffer of the next read."""
        return self._buffer

    def buffer_updated(self, size: int) -> None:
        """Pass on a read, at once or in turn."""
        received = bytes(self._buffer[:size])
        if self._unhandled:
            # A paused transport of asyncio may complete one more read.
            self._unhandled += received
            return
        if not _is_costly(received, self._line_end):
            self._receive(received)
            return
        self._unhandled = received
        self._wait_for_turn()

    def eof_received(self) -> bool | None:
        """Pass on the end of the connection behind all that was read."""
        if self._unhandled:
            self._ended = True
            # The connection stays open until the turn of what was read.
            return True
        keeps_open: bool | None = self._protocol.eof_received()
        return keeps_open

    def connection_lost(self, exc: BaseException | None) -> None:
        """Pass on the loss; what waits is not handled any more."""
        self._lost = True
        self._unhandled = b''
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the write buffer is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the write buffer has room."""
        self._protocol.resume_writing()

    def _wait_for_turn(self) -> None:
        assert self._transport is not None
        self._transport.pause_for_turn()
        lines = self._unhandled.count(self._line_end, 0, TURN_BYTES)
        self._turns.wait(lines, self._take_turn)

    def _take_turn(self) -> None:
        if self._lost or self._transport is None:
            return
        if self._transport.is_paused_by_protocol:
            self._transport.on_resume = self._wait_for_turn
            return
        part = self._unhandled[:TURN_BYTES]
        self._unhandled = self._unhandled[TURN_BYTES:]
        self._receive(part)
        if self._unhandled:
            self._wait_for_turn()
        elif not self._ended:
            self._transport.resume_after_turn()
        elif not self._protocol.eof_received():
            self._transport.close()


def _is_costly(received: bytes, line_end: bytes) -> bool:
    """Return whether a read has more than `COSTLY_LINES` lines.

    In a long read with few of them, searching for one byte is many times
    faster than counting. Compressed bytes contain every byte often.
    """
    if len(received) <= TURN_BYTES:
        return received.count(line_end) > COSTLY_LINES
    first = line_end[:1]
    end = -1
    for _ in range(COSTLY_LINES + 1):
        end = received.find(first, end + 1)
        if end < 0:
            return False
    return received.count(line_end) > COSTLY_LINES


class PausableTransport:
    """A transport whose reading the protocol and its reads pause separately.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection.

    Attributes
    ----------
    is_paused_by_protocol : bool
        Whether the protocol reads nothing now.
    on_resume : callable or None
        Called once when the protocol reads again.
    """

    __slots__ = (
        '_paused_for_turn',
        '_transport',
        'abort',
        'close',
        'get_extra_info',
        'is_closing',
        'is_paused_by_protocol',
        'on_resume',
        'write',
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        """Initialise while both read."""
        self._transport = transport
        self.is_paused_by_protocol = False
        self._paused_for_turn = False
        self.on_resume: Callable[[], None] | None = None
        # Called for each request, thus without a call in between.
        self.abort = transport.abort
        self.close = transport.close
        self.get_extra_info = transport.get_extra_info
        self.is_closing = transport.is_closing
        self.write = transport.write

    def __getattr__(self, name: str) -> Any:
        """Return any other method of the transport."""
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        """Pause reading for the protocol."""
        self.is_paused_by_protocol = True
        if not self._paused_for_turn:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading for the protocol."""
        self.is_paused_by_protocol = False
        on_resume = self.on_resume
        if on_resume is not None:
            self.on_resume = None
            on_resume()
        if not self._paused_for_turn:
            self._transport.resume_reading()

    def pause_for_turn(self) -> None:
        """Pause reading until the turn of what was read."""
        self._paused_for_turn = True
        if not (self.is_paused_by_protocol or self.is_closing()):
            self._transport.pause_reading()

    def resume_after_turn(self) -> None:
        """Resume reading unless the protocol pauses it."""
        self._paused_for_turn = False
        if not (self.is_paused_by_protocol or self.is_closing()):
            self._transport.resume_reading()
