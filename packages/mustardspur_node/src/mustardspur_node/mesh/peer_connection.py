"""Client side of one stream that carries calls to another node."""

import asyncio
import logging
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
from mustardspur_core.settings import Settings
from mustardspur_core.wire import (
    Frame,
    FrameStream,
    MalformedFrame,
    connect_stream,
)

from mustardspur_node.mesh.answer_heads import receiving_head
from mustardspur_node.mesh.call_in_flight import CallInFlight
from mustardspur_node.mesh.calls import (
    PlacementFault,
    TargetAnswer,
    not_sent_fault,
)
from mustardspur_node.mesh.outgoing_bodies import Uplink, send_by_size

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.5
# While calls are in flight the other node sends a heartbeat every HEARTBEAT_S;
# a stream without a frame for longer than SILENCE_S gets no further calls.
HEARTBEAT_S: Final = 0.3
SILENCE_S: Final = 1.2
# A stream without calls in flight is closed after this time.
IDLE_TIMEOUT_S: Final = 20.0
# A head of 128 KiB and a part of a body take a fifth of it; nodes of earlier
# versions state up to 1 MiB in `CallFailed`.
MAX_FRAME_BYTES: Final = 2_097_152
# A node that is told that a call has ended sends what is on its way only.
MAX_UNCLAIMED_BYTES: Final = 33_554_432
STREAM_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)

_FRAMES_WITH_LOAD: Final = (NodeHeartbeat, CallReserved, CallAnswer, CallFailed)

LoadCallback = Callable[[str, TargetLoad], None]


class PeerConnection:
    """A stream to another node and the calls in flight on it.

    Parameters
    ----------
    node : str
        ``ip:port`` of the other node's stream.
    settings : Settings
        Settings of this node.
    on_load : callable
        Called with the node and the load of its target on each report.
    uplink : Uplink
        Paces large bodies.

    Attributes
    ----------
    last_received_s : float
        Time on the event loop's clock from which the silence of the other node
        counts: of the latest frame, or of the end of a pause of this node.
    """

    __slots__ = (
        '_budget',
        '_in_flight_by_id',
        '_last_used_s',
        '_next_id',
        '_node',
        '_on_load',
        '_ready',
        '_settings',
        '_task',
        '_unclaimed_bytes',
        '_uplink',
        'last_received_s',
    )

    def __init__(
        self,
        node: str,
        settings: Settings,
        on_load: LoadCallback,
        uplink: Uplink,
    ) -> None:
        """Start to connect."""
        self._uplink = uplink
        self._node = node
        self._settings = settings
        self._on_load = on_load
        self._budget = uplink.answers
        self._in_flight_by_id: dict[int, CallInFlight] = {}
        self._next_id = 0
        # Bytes of answers of ended calls since the latest frame of another.
        self._unclaimed_bytes = 0
        self.last_received_s: float = 0
        self._last_used_s = _now()
        self._ready: asyncio.Future[FrameStream] = asyncio.Future()
        self._task = asyncio.create_task(self._run_stream())
        self._task.add_done_callback(_log_failure)

    @property
    def has_ended(self) -> bool:
        """Whether the stream has ended."""
        return self._task.done()

    @property
    def is_silent(self) -> bool:
        """Whether calls are in flight and no frame arrives."""
        if not self._in_flight_by_id or not self._ready.done():
            return False
        return _now() - self.last_received_s > SILENCE_S

    @property
    def is_idle(self) -> bool:
        """Whether the stream has carried no call for `IDLE_TIMEOUT_S`."""
        idle_s = _now() - self._last_used_s
        return not self._in_flight_by_id and idle_s > IDLE_TIMEOUT_S

    @property
    def calls_in_flight(self) -> int:
        """Number of calls in flight."""
        return len(self._in_flight_by_id)

    async def run(
        self,
        call: CallOpen,
        on_may_run: Callable[[], None],
    ) -> TargetAnswer:
        """Run a call at the other node's target and return the answer.

        Raises
        ------
        PlacementFault
            If the target gives no usable answer.
        """
        stream = await self._connected()
        with (
            self._budget.receiving() as held,
            receiving_head(self._budget) as held_head,
        ):
            call_in_flight = CallInFlight(call, held, held_head, on_may_run)
            return await self._exchange(stream, call, call_in_flight)

    def end_waits(self, reason: str, *, keeps_runs: bool = False) -> None:
        """Fail the calls whose outcome does not depend on this stream.

        Explanation
        ===========

        A node that is only silent for a while may still answer. A call that
        may have run and may not run again waits for that answer; the others
        can be placed elsewhere, and are cancelled at the node.

        Parameters
        ----------
        reason : str
            Why the calls are not waited for.
        keeps_runs : bool
            Whether all calls that may have run wait for their answers.
        """
        stream = self._ready.result()
        for call_id, call_in_flight in list(self._in_flight_by_id.items()):
            keeps_run = keeps_runs and call_in_flight.may_run
            if not (keeps_run or call_in_flight.must_wait):
                call_in_flight.fail_on_disconnect(reason)
                stream.enqueue(CallCancel(reason=reason), call_id)

    def close(self, reason: str) -> None:
        """Close the stream and fail the calls in flight."""
        self._task.cancel()
        self._fail_all(reason)

    async def _connected(self) -> FrameStream:
        try:
            return await asyncio.shield(self._ready)
        except STREAM_ERRORS as error:
            raise not_sent_fault('unreachable', repr(error)) from error

    async def _exchange(
        self,
        stream: FrameStream,
        call: CallOpen,
        call_in_flight: CallInFlight,
    ) -> TargetAnswer:
        if self._task.done():
            raise not_sent_fault('unreachable', 'stream ended')
        self._next_id += 1
        call_id = self._next_id
        if not self._in_flight_by_id:
            self.last_received_s = _now()
        self._in_flight_by_id[call_id] = call_in_flight
        self._last_used_s = _now()
        try:
            await send_by_size(
                stream,
                call_id,
                call,
                call_in_flight,
                self._uplink,
                lambda: _now() - self.last_received_s,
            )
            return await call_in_flight.answer
        except OSError as error:
            call_in_flight.fail_on_disconnect(repr(error))
            return await call_in_flight.answer
        except asyncio.CancelledError:
            stream.enqueue(CallCancel(reason='caller is gone'), call_id)
            raise
        finally:
            self._in_flight_by_id.pop(call_id, None)

    async def _run_stream(self) -> None:
        try:
            async with connect_stream(self._node, CONNECT_TIMEOUT_S) as stream:
                self._uplink.prepare(stream)
                stream.enqueue(
                    NodeHello(
                        node=self._settings.listen.stream or '',
                        data_centre=self._settings.data_centre,
                        region=self._settings.region,
                    ),
                )
                self.last_received_s = _now()
                self._ready.set_result(stream)
                await self._receive(stream)
        except STREAM_ERRORS as error:
            if self._ready.done():
                _log_end(self._node, error)
            else:
                _fail(self._ready, error)
        finally:
            self._fail_all('stream ended')

    async def _receive(self, stream: FrameStream) -> None:
        while True:
            # A local variable would hold the frame, and its call, until the
            # next one arrives.
            self._apply(stream, await stream.receive(MAX_FRAME_BYTES))

    def _apply(self, stream: FrameStream, frame: Frame) -> None:
        self.last_received_s = _now()
        if isinstance(frame.body, _FRAMES_WITH_LOAD):
            self._on_load(self._node, frame.body.load)
        call_in_flight = self._in_flight_by_id.get(frame.request_id)
        if call_in_flight is not None:
            self._unclaimed_bytes = 0
            _apply(stream, frame, call_in_flight)
        elif isinstance(frame.body, CallAnswer | CallPart):
            self._unclaimed_bytes += len(frame.body.body)
            if self._unclaimed_bytes > MAX_UNCLAIMED_BYTES:
                raise MalformedFrame('length', 'answers of ended calls')

    def _fail_all(self, reason: str) -> None:
        if not self._ready.done():
            _fail(self._ready, ConnectionError(reason))
        interrupted = self._in_flight_by_id
        self._in_flight_by_id = {}
        for call_in_flight in interrupted.values():
            call_in_flight.fail_on_disconnect(reason)


def _apply(
    stream: FrameStream,
    frame: Frame,
    call_in_flight: CallInFlight,
) -> None:
    if not isinstance(frame.body, CallReserved):
        try:
            call_in_flight.apply(frame.body)
        except PlacementFault as fault:
            call_in_flight.fail(fault)
            stream.enqueue(CallCancel(reason=fault.detail), frame.request_id)
    elif not call_in_flight.answer.done():
        # A call that was ended meanwhile is not confirmed, so it never runs.
        stream.enqueue(CallConfirm(confirmed=True), frame.request_id)
        call_in_flight.allow_run()


def _log_end(node: str, error: Exception) -> None:
    _LOG.info(
        'stream to node ended',
        extra={'node': node, 'reason': repr(error)},
    )


def _fail(ready: 'asyncio.Future[FrameStream]', error: Exception) -> None:
    ready.set_exception(error)
    # The error is read by calls only if any waits for the stream.
    ready.exception()


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('stream task failed', exc_info=task.exception())


def _now() -> float:
    return asyncio.get_running_loop().time()
