"""Large bodies that this node sends to other nodes."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.call_messages import (
    CallCancel,
    CallOpen,
    CallPart,
)
from mustardspur_core.record import replaced
from mustardspur_core.wire import FrameStream

from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.body_parts import PART_BYTES, send_call
from mustardspur_node.mesh.call_in_flight import CallInFlight
from mustardspur_node.mesh.calls import not_sent_fault
from mustardspur_node.mesh.link_admission import (
    LARGE_BODY_BYTES,
    LINK_PART_BYTES,
)
from mustardspur_node.mesh.link_rate import BODY_FRACTION, BYTES_PER_MBIT

# A node with calls in flight sends a heartbeat every 0.3 s; without a frame
# for this long no further credit is expected from it.
CREDIT_SILENCE_S: Final = 0.7


class Uplink:
    """Sending direction of the link of the instance.

    Explanation
    ===========

    Parts of all bodies and answers leave at the rate of the link, in turn,
    so they do not queue before it. On each stream one part is in the buffers
    of the socket at most.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link; 0 for an unlimited one.
    answers : AnswerBudget or None
        Limit on the bytes of answers; None for one of its own.

    Attributes
    ----------
    answers : AnswerBudget
        Limit on the bytes of answers that the node holds.
    is_limited : bool
        Whether the bandwidth is stated.
    """

    __slots__ = ('_bytes_per_s', '_free_s', 'answers', 'is_limited')

    def __init__(
        self,
        link_mbps: float,
        answers: AnswerBudget | None = None,
    ) -> None:
        """Initialise with an unused link."""
        self.answers = answers or AnswerBudget()
        self.is_limited = bool(link_mbps)
        self._bytes_per_s = BODY_FRACTION * link_mbps * BYTES_PER_MBIT
        self._free_s = float('-inf')

    def is_large(self, body: bytes) -> bool:
        """Return whether a body is sent in parts at the rate of the link."""
        return self.is_limited and len(body) > LARGE_BODY_BYTES

    def prepare(self, stream: FrameStream) -> None:
        """Keep parts of bodies out of the buffers of a stream's socket."""
        if self.is_limited:
            stream.limit_unsent(LINK_PART_BYTES)

    async def wait_turn(self, size: int) -> None:
        """Wait until a part may leave."""
        if not self.is_limited:
            return
        now_s = _now()
        start_s = max(self._free_s, now_s)
        self._free_s = start_s + size / self._bytes_per_s
        if start_s > now_s:
            await asyncio.sleep(start_s - now_s)

    async def send_parts(
        self,
        stream: FrameStream,
        call_id: int,
        body: bytes,
    ) -> None:
        """Send the parts of an answer's body that follow the first one."""
        size = self.part_bytes(body)
        sent = size
        while sent < len(body):
            part = body[sent : sent + size]
            sent += len(part)
            await self.wait_turn(len(part))
            has_more = sent < len(body)
            await stream.send(CallPart(body=part, more=has_more), call_id)

    def part_bytes(self, body: bytes) -> int:
        """Return the size of the parts in which a body is sent."""
        return LINK_PART_BYTES if self.is_large(body) else PART_BYTES


async def send_by_size(
    stream: FrameStream,
    call_id: int,
    call: CallOpen,
    call_in_flight: CallInFlight,
    uplink: Uplink,
    silence_s: Callable[[], float],
) -> None:
    """Send a call whole, or by credit if its body is large.

    Parameters
    ----------
    silence_s : callable
        Returns the time since the last frame of the other node.
    """
    if uplink.is_large(call.body):
        await _send_large(
            stream,
            call_id,
            call,
            call_in_flight,
            uplink,
            silence_s,
        )
        if call_in_flight.answer.done() and silence_s() > CREDIT_SILENCE_S:
            stream.enqueue(CallCancel(reason='node is silent'), call_id)
        return
    if not call.confirm:
        call_in_flight.allow_run()
    if uplink.is_limited:
        # The write buffer counts as full at any size, so waiting for it would
        # keep a call at a silent node.
        stream.enqueue(call, call_id)
    else:
        await send_call(stream, call_id, call)


async def _send_large(
    stream: FrameStream,
    call_id: int,
    call: CallOpen,
    call_in_flight: CallInFlight,
    uplink: Uplink,
    silence_s: Callable[[], float],
) -> None:
    """Send a call, and its body as far as the other node gives credit.

    Returns early if the call ends before its body is sent. A call that needs
    no confirmation may run once its last part is sent.
    """
    size = len(call.body)
    credit = call_in_flight.credit
    call_in_flight.answer.add_done_callback(lambda _: credit.end_wait())
    opened = replaced(call, body=b'', more=True, body_bytes=size)
    stream.enqueue(opened, call_id)
    sent = 0
    while sent < size:
        if not await _has_credit(call_in_flight, silence_s):
            break
        part = call.body[sent : sent + credit.take(LINK_PART_BYTES)]
        sent += len(part)
        await uplink.wait_turn(len(part))
        if call_in_flight.answer.done():
            break
        if sent == size and not call.confirm:
            call_in_flight.allow_run()
        stream.enqueue(CallPart(body=part, more=sent < size), call_id)
        await _drain(stream, call_in_flight, silence_s)


async def _drain(
    stream: FrameStream,
    call_in_flight: CallInFlight,
    silence_s: Callable[[], float],
) -> None:
    """Wait until a part is written, or fail the call at a silent node."""
    draining = asyncio.create_task(stream.drain())
    draining.add_done_callback(_read_error)
    while not draining.done() and not call_in_flight.answer.done():
        await asyncio.wait(
            (draining, call_in_flight.answer),
            timeout=CREDIT_SILENCE_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not draining.done() and silence_s() > CREDIT_SILENCE_S:
            call_in_flight.fail_on_disconnect('body is not taken')
    if draining.done():
        await draining
    draining.cancel()


async def _has_credit(
    call_in_flight: CallInFlight,
    silence_s: Callable[[], float],
) -> bool:
    """Wait for credit; return False if the call has ended or must end."""
    while not call_in_flight.answer.done():
        if await call_in_flight.credit.wait(CREDIT_SILENCE_S):
            return not call_in_flight.answer.done()
        if silence_s() > CREDIT_SILENCE_S:
            call_in_flight.fail(not_sent_fault('unreachable', 'no credit'))
    return False


def _read_error(draining: 'asyncio.Task[None]') -> None:
    """Read the error of a wait whose call was cancelled meanwhile."""
    if not draining.cancelled():
        draining.exception()


def _now() -> float:
    return asyncio.get_running_loop().time()
