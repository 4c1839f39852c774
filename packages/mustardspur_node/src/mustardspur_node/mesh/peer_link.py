"""The stream that a node opens to another node for its calls."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
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
from mustardspur_core.settings import Settings
from mustardspur_core.wire import FrameStream, MalformedFrame, connect_stream

from mustardspur_node.mesh.calls import (
    PlaceFault,
    TargetAnswer,
    maybe_run,
    never_sent,
)

_LOG: Final = logging.getLogger(__name__)

CONNECT_TIMEOUT_S: Final = 0.5
# Bodies travel in parts of this size, so that a long one delays the calls
# behind it for a few milliseconds only.
PART_BYTES: Final = 65_536
# While calls are open the other side sends a sign of life every BEAT_S; a
# stream that is silent for longer than SILENCE_S is dead.
BEAT_S: Final = 0.3
SILENCE_S: Final = 1.2
# A stream without calls is closed after this time.
IDLE_S: Final = 20.0
_STREAM_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)

_WITH_LOAD: Final = (NodeBeat, CallReady, CallAnswer, CallFailed)

NoteLoad = Callable[[str, TargetLoad], None]


class OpenCall:
    """A call that waits for its answer on a stream."""

    __slots__ = ('_head', '_parts', 'answer', 'may_run', 'note_sent')

    def __init__(self, note_sent: Callable[[], None]) -> None:
        """Start unsent."""
        self.note_sent = note_sent
        self.answer: asyncio.Future[TargetAnswer] = asyncio.Future()
        self.may_run = False
        self._head: CallAnswer | None = None
        self._parts: list[bytes] = []

    def let_run(self) -> None:
        """Note that the call may run from now on."""
        self.may_run = True
        self.note_sent()

    def take(self, body: CallAnswer | CallPart) -> None:
        """Take a part of the answer; the last one ends the call."""
        if isinstance(body, CallAnswer):
            self._head = body
        self._parts.append(body.body)
        head = self._head
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

    def fail(self, fault: PlaceFault) -> None:
        """End the call with a fault."""
        if not self.answer.done():
            self.answer.set_exception(fault)

    def lose(self, reason: str) -> None:
        """End the call as the stream broke.

        A call that waits for its confirmation has certainly not run.
        """
        if self.may_run:
            self.fail(maybe_run('broken', reason))
        else:
            self.fail(never_sent('unreachable', reason))


class PeerLink:
    """Calls to the target beside another node, over one stream.

    Parameters
    ----------
    node : str
        ``ip:port`` of the other node's stream.
    settings : Settings
        Settings of this node.
    note_load : callable
        Takes each state of the other target that is reported.
    """

    __slots__ = (
        '_heard_s',
        '_next_id',
        '_node',
        '_note_load',
        '_open_by_id',
        '_ready',
        '_settings',
        '_stream',
        '_task',
        '_used_s',
    )

    def __init__(
        self,
        node: str,
        settings: Settings,
        note_load: NoteLoad,
    ) -> None:
        """Start without a stream."""
        self._node = node
        self._settings = settings
        self._note_load = note_load
        self._open_by_id: dict[int, OpenCall] = {}
        self._next_id = 0
        self._stream: FrameStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._ready: asyncio.Future[FrameStream] = asyncio.Future()
        self._heard_s: float = 0
        self._used_s = _now()

    async def run(
        self,
        call: CallOpen,
        note_sent: Callable[[], None],
    ) -> TargetAnswer:
        """Run a call at the other node's target.

        Parameters
        ----------
        call : CallOpen
            The call.
        note_sent : callable
            Called at the moment from which on the call may run.

        Raises
        ------
        PlaceFault
            If there is no usable answer.
        """
        stream = await self._connected()
        self._next_id += 1
        call_id = self._next_id
        waiting = OpenCall(note_sent)
        if not self._open_by_id:
            self._heard_s = _now()
        self._open_by_id[call_id] = waiting
        self._used_s = _now()
        if not call.confirm:
            waiting.let_run()
        try:
            await _send_call(stream, call_id, call)
            return await waiting.answer
        except OSError as error:
            waiting.lose(repr(error))
            return await waiting.answer
        except asyncio.CancelledError:
            stream.enqueue(CallCancel(reason='caller is gone'), call_id)
            raise
        finally:
            self._open_by_id.pop(call_id, None)

    def check(self) -> None:
        """Close the stream if it is silent with calls open, or unused."""
        if self._stream is None:
            return
        if self._open_by_id:
            if _now() - self._heard_s > SILENCE_S:
                _LOG.warning('node is silent', extra={'node': self._node})
                self._drop('node is silent')
        elif _now() - self._used_s > IDLE_S:
            self._drop('stream was not used')

    def close(self) -> None:
        """Close the stream; calls on it fail."""
        self._drop('node stops')

    async def _connected(self) -> FrameStream:
        if self._stream is not None:
            return self._stream
        if self._task is None or self._task.done():
            self._ready = asyncio.Future()
            self._task = asyncio.create_task(self._keep(self._ready))
            self._task.add_done_callback(_retrieve)
        return await self._wait_ready()

    async def _wait_ready(self) -> FrameStream:
        try:
            return await asyncio.shield(self._ready)
        except _STREAM_ERRORS as error:
            raise never_sent('unreachable', repr(error)) from error

    async def _keep(self, ready: 'asyncio.Future[FrameStream]') -> None:
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
                self._heard_s = _now()
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
                self._lose_all('stream ended')

    async def _receive(self, stream: FrameStream) -> None:
        while True:
            frame = await stream.receive()
            self._heard_s = _now()
            body = frame.body
            if isinstance(body, _WITH_LOAD):
                self._note_load(self._node, body.load)
            waiting = self._open_by_id.get(frame.request_id)
            if waiting is None:
                continue
            if isinstance(body, CallReady):
                stream.enqueue(CallGo(confirmed=True), frame.request_id)
                waiting.let_run()
            else:
                _take_frame(waiting, body)

    def _drop(self, reason: str) -> None:
        self._stream = None
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
        self._lose_all(reason)

    def _lose_all(self, reason: str) -> None:
        lost = self._open_by_id
        self._open_by_id = {}
        for waiting in lost.values():
            waiting.lose(reason)


def _take_frame(waiting: OpenCall, body: object) -> None:
    if isinstance(body, CallFailed):
        waiting.fail(_fault(body))
    elif isinstance(body, CallAnswer | CallPart):
        waiting.take(body)
    else:
        raise MalformedFrame('type', f'no answer: {type(body).__name__}')


def _fault(failed: CallFailed) -> PlaceFault:
    return PlaceFault(
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
    opened = replaced(call, body=first, more=True) if rest else call
    await stream.send(opened, call_id)
    await send_parts(stream, call_id, rest)


async def send_parts(
    stream: FrameStream,
    call_id: int,
    parts: list[bytes],
) -> None:
    """Send the parts of a body behind its first one."""
    left = deque(parts)
    while left:
        part = left.popleft()
        await stream.send(CallPart(body=part, more=bool(left)), call_id)


def split_body(body: bytes) -> list[bytes]:
    """Return a body in parts of at most `PART_BYTES`, at least one."""
    return [
        body[start : start + PART_BYTES]
        for start in range(0, max(len(body), 1), PART_BYTES)
    ]


def _retrieve(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('stream failed', exc_info=task.exception())


def _now() -> float:
    return asyncio.get_running_loop().time()
