"""Server side of the streams over which other nodes send calls."""

import asyncio
import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Final

from mustardspur_core.listening import listen
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
from mustardspur_core.tracebacks import release_frames
from mustardspur_core.wire import (
    FirstFrames,
    Frame,
    FrameStream,
    MalformedFrame,
    MessageDispatcher,
)

from mustardspur_node.mesh.calls import (
    PlacementFault,
    TargetAnswer,
    maybe_run_fault,
    not_sent_fault,
)
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.partial_calls import PartialCalls
from mustardspur_node.mesh.peer_connection import HEARTBEAT_S, STREAM_ERRORS
from mustardspur_node.mesh.stream_bodies import StreamBodies

_LOG: Final = logging.getLogger(__name__)

HELLO_TIMEOUT_S: Final = 2.0
# A reachable node confirms within one round trip between regions.
CONFIRM_TIMEOUT_S: Final = 0.5
# No further frames are read from a node that does not take the answers. Parts
# of all answers that a slow link carries at a time stay below; confirmations
# of other calls would otherwise be late.
MAX_UNSENT_BYTES: Final = 8_388_608
_FROM_NODES: Final = MessageDispatcher('a node')


class PeerServer:
    """Accepts streams from other nodes.

    Parameters
    ----------
    local : LocalTarget
        Runs the calls at the local target.

    Attributes
    ----------
    accepted : int
        Streams that were accepted.
    running : int
        Calls in flight.
    """

    __slots__ = (
        '_first_frames',
        '_listener',
        '_local',
        '_streams',
        'accepted',
        'running',
    )

    def __init__(self, local: LocalTarget) -> None:
        """Initialise the server without streams."""
        self._first_frames = FirstFrames()
        self._local = local
        self._listener: asyncio.Server | None = None
        self._streams: set[FrameStream] = set()
        self.accepted = 0
        self.running = 0

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[None]:
        """Listen for other nodes while the context is active."""
        self._listener = await listen(self._create_protocol, address)
        try:
            yield
        finally:
            self.stop_listening()
            for stream in list(self._streams):
                stream.close()

    def stop_listening(self) -> None:
        """Accept no new streams."""
        if self._listener is not None:
            self._listener.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a stream until it ends."""
        stream = FrameStream(reader, writer)
        self._local.admission.link.uplink.prepare(stream)
        self._streams.add(stream)
        try:
            await self._serve_stream(stream)
        except* STREAM_ERRORS as group:
            _LOG.info(
                'stream of node ended',
                extra={
                    'peer': stream.peer_address,
                    'reason': repr(group.exceptions[0]),
                },
            )
        finally:
            self._streams.discard(stream)
            stream.close()

    def _create_protocol(self) -> asyncio.StreamReaderProtocol:
        self.accepted += 1
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(), self.serve)

    async def _serve_stream(self, stream: FrameStream) -> None:
        first = await self._first_frames.receive(stream, HELLO_TIMEOUT_S)
        hello = first.body
        if not isinstance(hello, NodeHello):
            raise MalformedFrame(
                'type', f'expected NodeHello first, got {type(hello).__name__}'
            )
        # Calls are cancelled when the stream ends, since no answer can be sent.
        async with asyncio.TaskGroup() as group:
            served_stream = ServedStream(stream, self._local, group, self)
            with served_stream.sending_heartbeats():
                await served_stream.receive()


class ServedStream:
    """The calls received over one stream."""

    __slots__ = (
        '_bodies',
        '_confirmed',
        '_group',
        '_local',
        '_partial_calls',
        '_server',
        '_stream',
        '_tasks',
    )

    def __init__(
        self,
        stream: FrameStream,
        local: LocalTarget,
        group: asyncio.TaskGroup,
        server: PeerServer,
    ) -> None:
        """Initialise the stream without calls."""
        self._stream = stream
        self._local = local
        self._group = group
        self._server = server
        self._partial_calls = PartialCalls(local.admission.link.bodies.room)
        self._bodies = StreamBodies(stream, local)
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._confirmed: dict[int, asyncio.Future[None]] = {}

    async def receive(self) -> None:
        """Process frames until the stream ends."""
        while True:
            if self._stream.unsent_bytes > MAX_UNSENT_BYTES:
                # Refusals are queued without a wait.
                await self._stream.drain()
            # A local variable would hold the frame until the next one arrives.
            self._handle(await self._stream.receive())

    @contextmanager
    def sending_heartbeats(self) -> Iterator[None]:
        """Send heartbeats in the context; cancel all calls on exit."""
        heartbeat = self._group.create_task(self._send_heartbeats())
        try:
            yield
        finally:
            self._partial_calls.discard_all()
            for task in (heartbeat, *self._tasks.values()):
                task.cancel()

    def _handle(self, frame: Frame) -> None:
        handle = _FROM_NODES.handler_of(frame.body)
        try:
            handle(self, frame.request_id, frame.body)
        except PlacementFault as fault:
            self._send_fault(frame.request_id, fault)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self._tasks:
                self._stream.enqueue(
                    NodeHeartbeat(load=self._local.admission.load)
                )

    @_FROM_NODES.handles(CallOpen)
    def _receive_call(self, call_id: int, call: CallOpen) -> None:
        if call.more and not call.body_bytes:
            self._partial_calls.open(call_id, call)
        else:
            self._start(call_id, call)

    @_FROM_NODES.handles(CallPart)
    def _receive_part(self, call_id: int, part: CallPart) -> None:
        if self._bodies.add(call_id, part):
            return
        call = self._partial_calls.add(call_id, part)
        if call is not None:
            self._start(call_id, call)

    def _start(self, call_id: int, call: CallOpen) -> None:
        task = self._group.create_task(self._run(call_id, call))
        self._tasks[call_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(call_id, None))

    @_FROM_NODES.handles(CallCancel)
    def _cancel(self, call_id: int, _: CallCancel) -> None:
        self._partial_calls.discard(call_id)
        task = self._tasks.get(call_id)
        if task is not None:
            task.cancel()

    @_FROM_NODES.handles(CallConfirm)
    def _confirm(self, call_id: int, _: CallConfirm) -> None:
        confirmed = self._confirmed.get(call_id)
        if confirmed is not None and not confirmed.done():
            confirmed.set_result(None)

    async def _run(self, call_id: int, call: CallOpen) -> None:
        self._server.running += 1
        try:
            async with self._bodies.completed(call_id, call) as complete:
                answer = await self._local.run(
                    complete,
                    partial(self._await_confirmation, call_id, call),
                )
                with self._local.budget.sending(len(answer.body)):
                    await self._send_answer(call_id, answer)
        except PlacementFault as fault:
            self._send_fault(call_id, fault)
        except STREAM_ERRORS:
            raise
        except Exception:
            # An unexpected error ends this call only, not the stream with the
            # other calls.
            _LOG.exception(
                'call failed unexpectedly', extra={'target': call.target}
            )
            self._send_fault(
                call_id,
                maybe_run_fault('broken', 'unexpected error of the node'),
            )
        finally:
            self._confirmed.pop(call_id, None)
            self._server.running -= 1

    def _send_fault(self, call_id: int, fault: PlacementFault) -> None:
        release_frames(fault)
        self._stream.enqueue(
            CallFailed(
                kind=fault.kind,
                not_run=fault.not_run,
                detail=fault.detail,
                load=self._local.admission.load,
            ),
            call_id,
        )

    async def _await_confirmation(
        self,
        call_id: int,
        call: CallOpen,
        load: TargetLoad,
    ) -> None:
        if not call.confirm:
            return
        confirmed: asyncio.Future[None] = asyncio.Future()
        self._confirmed[call_id] = confirmed
        self._stream.enqueue(CallReserved(load=load), call_id)
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await confirmed
        except TimeoutError as error:
            raise not_sent_fault('timeout', 'not confirmed') from error

    async def _send_answer(self, call_id: int, answer: TargetAnswer) -> None:
        uplink = self._local.admission.link.uplink
        body = answer.body
        first = body[: uplink.part_bytes(body)]
        has_more = len(first) < len(body)
        if has_more:
            await uplink.wait_turn(len(first))
        await self._stream.send(
            CallAnswer(
                status=answer.status,
                reason=answer.reason,
                headers=answer.headers,
                body=first,
                more=has_more,
                load=answer.load,
            ),
            call_id,
        )
        await uplink.send_parts(self._stream, call_id, body)
