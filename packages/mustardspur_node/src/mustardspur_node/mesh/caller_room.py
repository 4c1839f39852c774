"""What the node holds for one caller's connection."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.held_bytes import HeldBytes, HeldShare

from mustardspur_node.mesh.caller_answers import CallerAnswer
from mustardspur_node.mesh.caller_intake import CallerIntake
from mustardspur_node.mesh.caller_payload import PROGRESS_BYTES
from mustardspur_node.mesh.request_body import RequestBody
from mustardspur_node.mesh.unread_end import UnreadEnd

# A request in flight: its task, its call and an answer that is not counted as
# a large one.
REQUEST_BYTES: Final = 24_576
# Bytes that a byte of a head, and a line of it, take while its call is held.
_HEAD_FACTOR: Final = 3
_LINE_BYTES: Final = 400
# Heads in reads of up to this size are part of `REQUEST_BYTES`.
_SMALL_READ_BYTES: Final = 2048
# Requests in flight on one connection; at this limit reading pauses until
# answers have been written.
MAX_REQUESTS_IN_FLIGHT: Final = 32
# The same while the account of all connections is scarce.
FEW_REQUESTS_IN_FLIGHT: Final = 2


class PendingRequest:
    """A request whose answer has not been written.

    Parameters
    ----------
    method : str
        Method of the request.
    answer : asyncio.Future
        The answer.
    body : RequestBody or None
        Body of the request, None for the refusal of a malformed one.
    keep_alive : bool
        Whether the caller may send further requests.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held for it.
    is_written : bool
        Whether the answer is written; the caller may not have read it.
    """

    __slots__ = (
        'answer',
        'body',
        'held_bytes',
        'is_written',
        'keep_alive',
        'method',
    )

    def __init__(
        self,
        method: str,
        answer: 'asyncio.Future[CallerAnswer]',
        body: RequestBody | None = None,
        *,
        keep_alive: bool,
    ) -> None:
        """Initialise without an answer."""
        self.method = method
        self.keep_alive = keep_alive
        self.answer = answer
        self.body = body
        self.held_bytes = REQUEST_BYTES
        self.is_written = False

    @property
    def within_body(self) -> bool:
        """Whether a part of the request's body has not been received."""
        return self.body is not None and self.body.is_incomplete

    @property
    def is_taken(self) -> bool:
        """Whether its call reads no further part of the body."""
        return self.body is None or self.body.payload.is_taken

    def drop_body(self) -> None:
        """Hold nothing of the body, since its call has ended."""
        if self.body is not None:
            self.body.payload.drop()

    def end(self) -> None:
        """Hold the answer no longer."""
        if self.body is not None:
            self.body.end_answer()


class CallerRoom:
    """The requests of a connection, and its share of the account of all.

    Parameters
    ----------
    account : HeldBytes
        Account of all connections of the process.
    pause : callable
        Pauses reading.
    resume : callable
        Resumes it.

    Attributes
    ----------
    pending : deque of PendingRequest
        Requests whose answers are not written, in their order.
    intake : CallerIntake
        Parses the requests; set once it is created.
    is_closed : bool
        Whether no further request starts.
    """

    __slots__ = (
        '_account',
        '_is_head',
        '_is_paused',
        '_pause',
        '_received_bytes',
        '_resume',
        '_share',
        '_transport',
        '_unread_end',
        '_unsent_bytes',
        '_waits',
        'intake',
        'is_closed',
        'pending',
    )

    def __init__(
        self,
        account: HeldBytes,
        pause: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        """Initialise without requests."""
        self._account = account
        self._pause = pause
        self._resume = resume
        self._is_head = False
        self._is_paused = False
        self._share = HeldShare(account, self._abort, self._has_progressed)
        self._waits = False
        # Bytes of the reads in which the next head began.
        self._received_bytes = 0
        self._unread_end = UnreadEnd(
            self._abort,
            # The last answer may still be sent.
            is_closed=lambda: self.is_closed,
        )
        self._unsent_bytes = 0
        self.pending: deque[PendingRequest] = deque()
        self._transport: asyncio.Transport | None = None
        self.is_closed = False
        self.intake: CallerIntake

    def connect(self, transport: asyncio.Transport | None) -> None:
        """Set the connection, whose unsent bytes are counted from now on."""
        self._transport = transport
        if transport is not None:
            # Writing pauses until the socket has taken all.
            transport.set_write_buffer_limits(high=0)

    def may_start(self) -> bool:
        """Return whether a further request may start."""
        if self.is_closed:
            return False
        if self._account.is_full:
            if not (self.pending or self._waits):
                self._waits = True
                self._account.wait(self._end_wait)
            return False
        if not self.pending:
            return True
        most = MAX_REQUESTS_IN_FLIGHT
        if self._account.is_scarce:
            most = FEW_REQUESTS_IN_FLIGHT
        return len(self.pending) < most and self.pending[-1].is_taken

    def receive(self, received: bytes) -> bool:
        """Start the requests that are received, as far as they may start.

        Returns
        -------
        bool
            Whether a part of a head is received that is not complete.
        """
        if not self._is_head:
            self._received_bytes = 0
        self._received_bytes += len(received)
        is_head = self.intake.receive(received)
        if self.intake.unparsed and not self._is_paused:
            self._is_paused = True
            self._pause()
            self._unread_end.start(self._transport)
        return is_head

    def go_on(self) -> None:
        """Start the requests that were received and may start now."""
        self.intake.go_on()
        if self._is_paused and not self.intake.is_held:
            self._is_paused = False
            self._unread_end.stop()
            self._resume()

    def add(self, request: PendingRequest, message: RawRequestMessage) -> None:
        """Add a request."""
        if self._received_bytes > _SMALL_READ_BYTES:
            request.held_bytes += _head_bytes(message)
        self.pending.append(request)
        held = request.held_bytes
        if request.body is not None:
            held += request.body.payload.expected_bytes
        self._share.resize(self._share.size + held)

    def update(self, size: int = 0, *, is_head: bool) -> None:
        """Count what is held for the connection.

        Parameters
        ----------
        size : int
            Bytes that were just received.
        is_head : bool
            Whether the caller has to send the rest of a head.
        """
        self._is_head = is_head
        if not (is_head or self.pending or self.intake.unparsed):
            self._share.release()
            return
        # Those that wait for room would otherwise keep it from each other.
        held = 0 if self._waits else len(self.intake.unparsed)
        held += sum(each.held_bytes for each in self.pending)
        is_unread = self._unsent_bytes > 0
        is_owing = is_head or is_unread
        latest = self.pending[-1].body if self.pending else None
        if latest is not None:
            held += latest.payload.expected_bytes
            is_owing = is_owing or latest.payload.is_awaited
        if is_head:
            held += self._received_bytes * _HEAD_FACTOR
            held += self.intake.head_lines * _LINE_BYTES
        self._share.resize(held)
        if is_owing:
            # A client that sends on and reads no answer makes no progress.
            has_progressed = size >= PROGRESS_BYTES and not is_unread
            self._share.owe(has_progressed=has_progressed)
        else:
            self._share.settle()

    def await_body(self) -> None:
        """Note that the caller has to send a further part of a body."""
        if not self.is_closed:
            self.update(is_head=False)

    def begin_write(self, unsent_bytes: int) -> None:
        """Note that the caller has to read an answer."""
        self._unsent_bytes = unsent_bytes
        self._share.owe(has_progressed=True)

    def end_write(self) -> None:
        """Note that the caller has read the answers up to now."""
        self._unsent_bytes = 0
        self._share.settle()

    def release(self) -> None:
        """Hold nothing, since the connection is lost."""
        self._account.end_wait(self._end_wait)
        self._unread_end.stop()
        self._share.release()

    def _has_progressed(self) -> bool:
        unsent = 0
        if self._unsent_bytes and self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
        has_progressed = unsent < self._unsent_bytes
        self._unsent_bytes = unsent
        return has_progressed

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _end_wait(self) -> None:
        self._waits = False
        self.go_on()


def _head_bytes(message: RawRequestMessage) -> int:
    """Return about how many bytes a head takes in memory."""
    lines = len(message.raw_headers)
    size = sum(len(name) + len(text) for name, text in message.raw_headers)
    size += len(message.path)
    return _HEAD_FACTOR * size + _LINE_BYTES * lines
