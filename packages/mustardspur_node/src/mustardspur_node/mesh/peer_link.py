"""Client side of the stream that carries calls to another node."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.call_messages import (
    CallAnswer,
    CallCancel,
    CallConfirm,
    CallFailed,
    CallOpen,
    CallPart,
    CallReserved,
    NodeHeartbeat,
    NodeHello,
    TargetLoad,
)
from mustardspur_core.record import replaced
from mustardspur_core.settings import Settings
from mustardspur_core.wire import FrameStream, MalformedFrame, connect_stream

from mustardspur_node.mesh.calls import (
    PlacementFault,
    TargetAnswer,
    maybe_run_fault,
    not_sent_fault,
)

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.5
# Bodies are sent in parts of this size, so that a long body delays other calls
# on the stream by a few milliseconds only.
PART_BYTES: Final = 65_536
# While calls are in flight the other node sends a heartbeat every HEARTBEAT_S;
# a stream without a frame for longer than SILENCE_S is closed.
HEARTBEAT_S: Final = 0.3
SILENCE_S: Final = 1.2
# A stream without calls in flight is closed after this time.
IDLE_TIMEOUT_S: Final = 20.0
_STREAM_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)

_FRAMES_WITH_LOAD: Final = (NodeHeartbeat, CallReserved, CallAnswer, CallFailed)

LoadCallback = Callable[[str, TargetLoad], None]


class CallInFlight:
    """A call in flight on a stream."""

    __slots__ = ('_first_part', '_parts', 'answer', 'may_run', 'on_may_run')

    def __init__(self, on_may_run: Callable[[], None]) -> None:
        """Initialise a call that has not been sent."""
        self.on_may_run = on_may_run
        self.answer: asyncio.Future[TargetAnswer] = asyncio.Future()
        self.may_run = False
        self._first_part: CallAnswer | None = None
        self._parts: list[bytes] = []

    def allow_run(self) -> None:
        """Record that the target may run the call from now on."""
        self.may_run = True
        self.on_may_run()

    def add_part(self, body: CallAnswer | CallPart) -> None:
        """Add a part of the answer; the last part completes the call."""
        if isinstance(body, CallAnswer):
            self._first_part = body
        self._parts.append(body.body)
        head = self._first_part
        if body.more or head is None or self.answer.done():
            return
        self.answer.set_result(
            TargetAnswer(
                status=head.status,
                reason=head.reason,
                headers=head.headers,
                body=b''.join(self._parts),
                load=head.load,
            ),
        )

    def fail(self, fault: PlacementFault) -> None:
        """Fail the call unless it has completed."""
        if not self.answer.done():
            self.answer.set_exception(fault)

    def fail_on_disconnect(self, reason: str) -> None:
        """Fail the call because its stream broke.

        A call that has not been confirmed has certainly not run.
        """
        if self.may_run:
            self.fail(maybe_run_fault('broken', reason))
        else:
            self.fail(not_sent_fault('unreachable', reason))


class PeerCallLink:
    """Sends calls to the local target of another node over one stream.

    Parameters
    ----------
    node : str
        ``ip:port`` of the other node's stream.
    settings : Settings
        Settings of this node.
    on_load : callable
        Called with the node and the load of its target on each report.
    """

    __slots__ = (
        '_in_flight_by_id',
        '_last_received_s',
        '_last_used_s',
        '_next_id',
        '_node',
        '_on_load',
        '_ready',
        '_settings',
        '_stream',
        '_task',
    )

    def __init__(
        self,
        node: str,
        settings: Settings,
        on_load: LoadCallback,
    ) -> None:
        """Initialise the link without a stream."""
        self._node = node
        self._settings = settings
        self._on_load = on_load
        self._in_flight_by_id: dict[int, CallInFlight] = {}
        self._next_id = 0
        self._stream: FrameStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._ready: asyncio.Future[FrameStream] = asyncio.Future()
        self._last_received_s: float = 0
        self._last_used_s = _now()

    async def run(
        self,
        call: CallOpen,
        on_may_run: Callable[[], None],
    ) -> TargetAnswer:
        """Run a call at the other node's target and return the answer.

        Parameters
        ----------
        call : CallOpen
            The call.
        on_may_run : callable
            Called once the target may run the call.

        Raises
        ------
        PlacementFault
            If the target gives no usable answer.
        """
        stream = await self._get_stream()
        self._next_id += 1
        call_id = self._next_id
        call_in_flight = CallInFlight(on_may_run)
        if not self._in_flight_by_id:
            self._last_received_s = _now()
        self._in_flight_by_id[call_id] = call_in_flight
        self._last_used_s = _now()
        if not call.confirm:
            call_in_flight.allow_run()
        try:
            await _send_call(stream, call_id, call)
            return await call_in_flight.answer
        except OSError as error:
            call_in_flight.fail_on_disconnect(repr(error))
            return await call_in_flight.answer
        except asyncio.CancelledError:
            stream.enqueue(CallCancel(reason='caller is gone'), call_id)
            raise
        finally:
            self._in_flight_by_id.pop(call_id, None)

    def check(self) -> None:
        """Close the stream if it is unused, or silent with calls in flight."""
        if self._stream is None:
            return
        if self._in_flight_by_id:
            if _now() - self._last_received_s > SILENCE_S:
                _LOG.warning('node is silent', extra={'node': self._node})
                self._close('node is silent')
        elif _now() - self._last_used_s > IDLE_TIMEOUT_S:
            self._close('stream is idle')

    def close(self) -> None:
        """Close the stream and fail the calls in flight."""
        self._close('node stops')

    async def _get_stream(self) -> FrameStream:
        if self._stream is not None:
            return self._stream
        if self._task is None or self._task.done():
            self._ready = asyncio.Future()
            self._task = asyncio.create_task(self._run_stream(self._ready))
            self._task.add_done_callback(_log_failure)
        return await self._wait_until_connected()

    async def _wait_until_connected(self) -> FrameStream:
        try:
            return await asyncio.shield(self._ready)
        except _STREAM_ERRORS as error:
            raise not_sent_fault('unreachable', repr(error)) from error

    async def _run_stream(self, ready: 'asyncio.Future[FrameStream]') -> None:
        try:
            async with connect_stream(self._node, CONNECT_TIMEOUT_S) as stream:
                stream.enqueue(
                    NodeHello(
                        node=self._settings.listen.stream or '',
                        data_centre=self._settings.data_centre,
                        region=self._settings.region,
                    ),
                )
                self._stream = stream
                self._last_received_s = _now()
                ready.set_result(stream)
                await self._receive(stream)
        except _STREAM_ERRORS as error:
            if ready.done():
                _LOG.info(
                    'stream to node ended',
                    extra={'node': self._node, 'reason': repr(error)},
                )
            else:
                ready.set_exception(error)
        finally:
            if self._task is asyncio.current_task():
                self._stream = None
                self._fail_all('stream ended')

    async def _receive(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.receive()
            self._last_received_s = _now()
            body = frame.body
            if isinstance(body, _FRAMES_WITH_LOAD):
                self._on_load(self._node, body.load)
            call_in_flight = self._in_flight_by_id.get(frame.request_id)
            if call_in_flight is None:
                continue
            if isinstance(body, CallReserved):
                stream.enqueue(CallConfirm(confirmed=True), frame.request_id)
                call_in_flight.allow_run()
            else:
                _apply_answer_frame(call_in_flight, body)

    def _close(self, reason: str) -> None:
        self._stream = None
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
        self._fail_all(reason)

    def _fail_all(self, reason: str) -> None:
        interrupted = self._in_flight_by_id
        self._in_flight_by_id = {}
        for call_in_flight in interrupted.values():
            call_in_flight.fail_on_disconnect(reason)


def _apply_answer_frame(call_in_flight: CallInFlight, body: object) -> None:
    if isinstance(body, CallFailed):
        call_in_flight.fail(_place_fault(body))
    elif isinstance(body, CallAnswer | CallPart):
        call_in_flight.add_part(body)
    else:
        raise MalformedFrame(
            'type', f'expected part of an answer, got {type(body).__name__}'
        )


def _place_fault(failed: CallFailed) -> PlacementFault:
    return PlacementFault(
        failed.kind,
        failed.detail,
        not_run=failed.not_run,
        arrived=not failed.not_run or failed.kind == 'refused',
    )


async def _send_call(
    stream: FrameStream,
    call_id: int,
    call: CallOpen,
) -> None:
    first, *rest = split_body(call.body)
    first_frame = replaced(call, body=first, more=True) if rest else call
    await stream.send(first_frame, call_id)
    await send_parts(stream, call_id, rest)


async def send_parts(
    stream: FrameStream,
    call_id: int,
    parts: list[bytes],
) -> None:
    """Send the remaining parts of a body."""
    remaining = deque(parts)
    while remaining:
        part = remaining.popleft()
        await stream.send(CallPart(body=part, more=bool(remaining)), call_id)


def split_body(body: bytes) -> list[bytes]:
    """Split a body into one or more parts of at most `PART_BYTES`."""
    return [
        body[start : start + PART_BYTES]
        for start in range(0, max(len(body), 1), PART_BYTES)
    ]


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('stream task failed', exc_info=task.exception())


def _now() -> float:
    return asyncio.get_running_loop().time()
