"""Calls of other nodes for the target beside this one."""

import asyncio
import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Final

from mustardspur_core.mesh.call_messages import (
    CallAnswer,
    CallCancel,
    CallFailed,
    CallGo,
    CallOpen,
    CallPart,
    CallReady,
    NodeBeat,
    NodeHello,
    TargetLoad,
)
from mustardspur_core.record import replaced
from mustardspur_core.wire import MessageDispatcher, FrameStream, MalformedFrame

from mustardspur_node.mesh.calls import (
    PlaceFault,
    TargetAnswer,
    never_sent,
)
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_link import (
    BEAT_S,
    send_parts,
    split_body,
)

_LOG: Final = logging.getLogger(__name__)

HELLO_TIMEOUT_S: Final = 2.0
# A caller's node that is alive confirms within a round trip between regions.
CONFIRM_TIMEOUT_S: Final = 0.5
_Incomplete = tuple[CallOpen, list[bytes]]
_FROM_NODES: Final = MessageDispatcher('a node')
_STREAM_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)


class PeerServer:
    """Accepts the streams of other nodes.

    Parameters
    ----------
    local : LocalTarget
        Runs the calls.
    """

    __slots__ = ('_local', '_streams', 'running')

    def __init__(self, local: LocalTarget) -> None:
        """Start without streams."""
        self._local = local
        self._streams: set[FrameStream] = set()
        self.running = 0

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[None]:
        """Serve other nodes for the length of a block."""
        host, _, port = address.rpartition(':')
        server = await asyncio.start_server(self.serve, host, int(port))
        try:
            yield
        finally:
            server.close()
            for stream in list(self._streams):
                stream.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a stream until its end; for `asyncio.start_server`."""
        stream = FrameStream(reader, writer)
        self._streams.add(stream)
        try:
            await self._serve_stream(stream)
        except* _STREAM_ERRORS as group:
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

    async def _serve_stream(self, stream: FrameStream) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            hello = (await stream.receive()).body
        if not isinstance(hello, NodeHello):
            raise MalformedFrame('type', f'{type(hello).__name__} came first')
        # The end of the stream cancels its calls: their caller is gone.
        async with asyncio.TaskGroup() as group:
            served = ServedStream(stream, self._local, group, self)
            with served.beating():
                await served.receive()


class ServedStream:
    """The calls that came over one stream."""

    __slots__ = (
        '_confirmed',
        '_group',
        '_local',
        '_parts',
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
        """Start without calls."""
        self._stream = stream
        self._local = local
        self._group = group
        self._server = server
        self._parts: dict[int, _Incomplete] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._confirmed: dict[int, asyncio.Future[None]] = {}

    async def receive(self) -> None:
        """Start the calls that arrive until the stream ends."""
        while True:
            frame = await self._stream.receive()
            handle = _FROM_NODES.handler_of(frame.body)
            handle(self, frame.request_id, frame.body)

    @contextmanager
    def beating(self) -> Iterator[None]:
        """Show that the node is alive; cancel every call at the end."""
        beat = self._group.create_task(self._beat())
        try:
            yield
        finally:
            beat.cancel()
            self._cancel_all()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            if self._tasks:
                self._stream.enqueue(NodeBeat(load=self._local.gate.load))

    def _cancel_all(self) -> None:
        for task in self._tasks.values():
            task.cancel()

    @_FROM_NODES.handles(CallOpen)
    def _open(self, call_id: int, call: CallOpen) -> None:
        if call.more:
            self._parts[call_id] = (call, [call.body])
        else:
            self._start(call_id, call)

    @_FROM_NODES.handles(CallPart)
    def _take_part(self, call_id: int, part: CallPart) -> None:
        if call_id not in self._parts:
            return
        call, parts = self._parts[call_id]
        parts.append(part.body)
        if not part.more:
            self._parts.pop(call_id)
            whole = replaced(call, body=b''.join(parts), more=False)
            self._start(call_id, whole)

    def _start(self, call_id: int, call: CallOpen) -> None:
        task = self._group.create_task(self._run(call_id, call))
        self._tasks[call_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(call_id, None))

    @_FROM_NODES.handles(CallCancel)
    def _cancel(self, call_id: int, _: CallCancel) -> None:
        self._parts.pop(call_id, None)
        task = self._tasks.get(call_id)
        if task is not None:
            task.cancel()

    @_FROM_NODES.handles(CallGo)
    def _go(self, call_id: int, _: CallGo) -> None:
        confirmed = self._confirmed.get(call_id)
        if confirmed is not None and not confirmed.done():
            confirmed.set_result(None)

    async def _run(self, call_id: int, call: CallOpen) -> None:
        self._server.running += 1
        try:
            answer = await self._local.run(
                call,
                partial(self._hand_over, call_id, call),
            )
            await self._answer(call_id, answer)
        except PlaceFault as fault:
            self._stream.enqueue(
                CallFailed(
                    kind=fault.kind,
                    not_run=fault.not_run,
                    detail=fault.detail,
                    load=self._local.gate.load,
                ),
                call_id,
            )
        finally:
            self._confirmed.pop(call_id, None)
            self._server.running -= 1

    async def _hand_over(
        self,
        call_id: int,
        call: CallOpen,
        load: TargetLoad,
    ) -> None:
        if not call.confirm:
            return
        confirmed: asyncio.Future[None] = asyncio.Future()
        self._confirmed[call_id] = confirmed
        self._stream.enqueue(CallReady(load=load), call_id)
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await confirmed
        except TimeoutError as error:
            raise never_sent('timeout', 'not confirmed') from error

    async def _answer(self, call_id: int, answer: TargetAnswer) -> None:
        first, *rest = split_body(answer.body)
        await self._stream.send(
            CallAnswer(
                status=answer.status,
                reason=answer.reason,
                headers=answer.headers,
                body=first,
                more=bool(rest),
                load=answer.load,
            ),
            call_id,
        )
        await send_parts(self._stream, call_id, rest)
