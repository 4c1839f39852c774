"""HTTP/1.1 connection of a caller."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus
from typing import Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from mustardspur_core.held_bytes import HeldBytes

from mustardspur_node.mesh.caller_answers import (
    CallerAnswer,
    node_answer,
    write_answer,
)
from mustardspur_node.mesh.caller_intake import CallerIntake
from mustardspur_node.mesh.caller_linger import LINGER_S, Linger
from mustardspur_node.mesh.caller_room import CallerRoom, PendingRequest
from mustardspur_node.mesh.caller_tasks import (
    Answer,
    answer_unless_left,
    end_if_failed,
    malformed_request,
    report_malformed,
)
from mustardspur_node.mesh.caller_timers import CallerTimers, Limits
from mustardspur_node.mesh.request_body import RequestBody
from mustardspur_node.mesh.socket_state import has_arrived

# Time after the connect within which a caller sends its first request.
FIRST_REQUEST_S: Final = 0.5
# Why the call of a caller is cancelled.
CALLER_LEFT: Final = 'the caller left'


class CallerConnection(BaseProtocol):
    """Handles pipelined requests concurrently and answers them in order.

    Parameters
    ----------
    limits : callable
        Returns the limits in force on the size and time of requests.
    answer : callable
        Coroutine function that answers a request.
    node_is_draining : callable
        Whether connections are closed after the last pending answer.
    held : HeldBytes or None
        Account of all connections; None for one of its own.

    Attributes
    ----------
    linger : Linger or None
        Closes the connection after its last answer.
    room : CallerRoom
        The requests in flight, and what is held for the connection.
    timers : CallerTimers
        Timers for a head and for an idle connection.
    """

    __slots__ = (
        '_answer',
        '_connected_s',
        '_has_head_part',
        '_header_bytes',
        '_is_ending',
        '_limits',
        '_node_is_draining',
        '_pending',
        '_pending_added',
        '_received_any',
        '_writer',
        'linger',
        'room',
        'timers',
    )

    def __init__(
        self,
        limits: Limits,
        answer: Answer,
        node_is_draining: Callable[[], bool],
        held: HeldBytes | None = None,
    ) -> None:
        """Initialise the connection without requests."""
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._limits = limits
        self._answer = answer
        self._node_is_draining = node_is_draining
        self.room = CallerRoom(
            held or HeldBytes(),
            self._pause_reading_for_buffer,
            self._resume_reading_for_buffer,
        )
        self._pending = self.room.pending
        self._pending_added = asyncio.Event()
        # No further request is started; the last answer closes the connection.
        self._is_ending = False
        self._connected_s: float = loop.time()
        self._received_any = False
        # Whether a part of a head arrived before the answer to a request.
        self._has_head_part = False
        self.linger: Linger | None = None
        self._writer: asyncio.Task[None] | None = None
        self.timers = CallerTimers(
            limits,
            partial(
                self._refuse_with,
                HTTPStatus.REQUEST_TIMEOUT,
                'request head did not arrive in time',
            ),
            self.close_idle,
        )
        # Fixed in the parser.
        self._header_bytes = limits().header_bytes
        self.room.intake = CallerIntake(
            self,
            self._header_bytes,
            self.room.may_start,
            self._start,
            self._refuse_malformed,
        )
        self._parser = self.room.intake.parser

    @property
    def is_answered(self) -> bool:
        """Whether the last answer was written, and the caller could read it."""
        return self.linger is not None and self.linger.is_sufficient

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start writing answers and the idle timer."""
        super().connection_made(transport)
        self.room.connect(self.transport)
        self._writer = self._loop.create_task(self._write_answers())
        self._writer.add_done_callback(partial(end_if_failed, transport))
        self.timers.restart_idle()

    def data_received(self, received: bytes) -> None:
        """Start the requests whose heads are complete."""
        if self.room.is_closed:
            if self.linger is not None:
                self.linger.receive()
            return
        self._received_any = True
        if self.room.receive(received):
            if self._pending:
                self._has_head_part = True
            else:
                self.timers.start_head()
        is_head = self._has_head_part or self.timers.is_receiving_head
        self.room.update(len(received), is_head=is_head)

    def eof_received(self) -> bool:
        """Cancel all requests and close when the caller closes its side."""
        self.room.is_closed = True
        _cancel(self._pending)
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all requests, since their answers cannot be sent."""
        self.room.is_closed = True
        self.timers.cancel()
        _cancel(self._pending)
        # The cancelled calls have their bodies, and the server removes lost
        # connections only from time to time.
        self._pending.clear()
        self._parser = None
        self.room.intake.end()
        self.room.release()
        if self._writer is not None:
            self._writer.cancel()
            # Its traceback refers to the call whose answer it waited for.
            self._writer = None
        super().connection_lost(exc)

    def close_idle(self) -> None:
        """Close the connection if no request is in flight or has arrived."""
        if self._pending or self.room.is_closed:
            return
        if self.room.intake.is_held or has_arrived(self.transport):
            self.timers.restart_idle()
            return
        self._close_gracefully()

    def drain(self) -> None:
        """Accept no further requests; close now if none is in flight.

        A new connection is left open for `FIRST_REQUEST_S`, since its first
        request is on its way, and one whose caller is sending a head until it
        is complete or late.
        """
        age_s = self._loop.time() - self._connected_s
        if not self._received_any and age_s < FIRST_REQUEST_S:
            return
        if self.timers.is_receiving_head:
            return
        if self._pending and self._pending[-1].is_written:
            # That answer may not have said that it closes. The next call of
            # this method finds the connection idle or another request.
            return
        if self._pending:
            self._is_ending = True
        else:
            # If a request has arrived, the next call finds it in flight, or
            # answered. It is started, as the connection is not ending yet.
            self.close_idle()

    def _start(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        is_followed: bool,  # noqa: FBT001
    ) -> None:
        if self.room.is_closed or self._is_ending:
            # The caller sends it again, since the answer before it closes.
            self.room.is_closed = True
            return
        self.timers.start_request()
        self._has_head_part = False
        limit = self._limits().body_bytes
        body = RequestBody(message, payload, limit, self.transport)
        body.payload.on_taken = self.room.go_on
        task = self._loop.create_task(
            answer_unless_left(self._answer, message, body)
        )
        keep_alive = not message.should_close
        self.room.add(
            PendingRequest(message.method, task, body, keep_alive=keep_alive),
            message,
        )
        self._pending_added.set()
        if is_followed:
            # The caller sends again what the parser drops, since the answer
            # closes.
            self._is_ending = True

    def _refuse_malformed(self, error: HttpProcessingError) -> None:
        report_malformed(error, self._header_bytes)
        is_behind = not self.room.intake.is_within_body
        if is_behind and self._is_ending and self._pending:
            # The last answer closes, and this belongs to none.
            self.room.is_closed = True
            return
        if is_behind:
            is_outdated = self._header_bytes < self._limits().header_bytes
            self._refuse_with(
                *malformed_request(error, is_outdated=is_outdated),
            )
            return
        # The answer to the request of this body says that it is malformed.
        self.room.is_closed = True
        self._is_ending = True
        # Nothing of a head or of trailers is held until the caller has left.
        self.room.intake.close()
        self._parser = None
        self.room.intake.body.set_exception(error)
        if not self._pending:
            self._close_gracefully()

    def _refuse_with(self, status: HTTPStatus, reason: str) -> None:
        self.room.is_closed = True
        self._is_ending = True
        self.timers.cancel()
        self.room.intake.close()
        self._parser = None
        refusal: asyncio.Future[CallerAnswer] = self._loop.create_future()
        refusal.set_result(node_answer(status, reason, closes=True))
        self._pending.append(PendingRequest('GET', refusal, keep_alive=False))
        self._pending_added.set()

    async def _write_answers(self) -> None:
        while True:
            while not self._pending:
                self._pending_added.clear()
                if self._has_head_part:
                    self.timers.start_head()
                else:
                    self.timers.restart_idle()
                await self._pending_added.wait()
            await self._write_first()
            self._pending.popleft().end()
            self.room.go_on()
            self.room.update(is_head=self._has_head_part)

    async def _write_first(self) -> None:
        first = self._pending[0]
        answer = await first.answer
        transport = self.transport
        if transport is None:
            return
        # Nobody reads the rest of a body, nor a request behind it.
        if answer.closes or not first.keep_alive or first.within_body:
            self._is_ending = True
        # Calls of later requests may be running at targets, so their answers
        # go first; their callers would otherwise make them again.
        is_last = len(self._pending) == 1
        closes = is_last and (self._is_ending or self._node_is_draining())
        if closes:
            self.room.is_closed = True
        write_answer(transport, answer, first.method, closes=closes)
        first.is_written = True
        if self.writing_paused:
            self.room.begin_write(transport.get_write_buffer_size())
            await self._drain_helper()
            self.room.end_write()
        if closes:
            self._close_gracefully()
            # Requests received after this answer are not processed.
            await asyncio.sleep(LINGER_S)

    def _close_gracefully(self) -> None:
        """Close the write side, and the connection once the caller is quiet."""
        self.room.is_closed = True
        self.timers.cancel()
        transport = self.transport
        if transport is None:
            return
        within_body = bool(self._pending) and self._pending[0].within_body
        self.linger = Linger(transport, within_body=within_body)
        self._parser = None
        # Nothing that was received is processed any more.
        self.room.intake.end()
        for request in self._pending:
            request.drop_body()
        # Reading may be paused within a body whose rest is discarded.
        self._resume_transport_reading()


def _cancel(requests: Iterable[PendingRequest]) -> None:
    for request in requests:
        request.answer.cancel(CALLER_LEFT)
        request.end()
