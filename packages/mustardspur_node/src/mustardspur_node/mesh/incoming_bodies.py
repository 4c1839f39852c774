"""Large bodies that other nodes send to the target of this node."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen, CallPart, TargetLoad
from mustardspur_core.record import replaced
from mustardspur_core.suspension import suspended_s
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import MalformedFrame

from mustardspur_node.mesh.body_buffer import BodyBuffer
from mustardspur_node.mesh.calls import PlacementFault, not_sent_fault
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.link_admission import (
    LINK_PART_BYTES,
    BodySender,
    LinkAdmission,
    LinkBody,
)

# Shortest wait for a slot that is left to a call with a complete body. Its
# bytes have crossed the link and would be lost.
MIN_SLOT_WAIT_MS: Final = 60.0

# Sends a credit for a number of bytes to the sender.
SendCredit = Callable[[int], None]


class IncomingBody:
    """A large body that is being received.

    Parameters
    ----------
    call : CallOpen
        The call without its body.
    sender : BodySender
        The stream that the call was received on.
    send_credit : callable
        Called with the number of bytes to request.

    Attributes
    ----------
    on_link : LinkBody
        The reservation of the link.
    """

    __slots__ = (
        '_buffer',
        '_call',
        '_complete',
        '_opened_s',
        'on_link',
        'send_credit',
    )

    def __init__(
        self,
        call: CallOpen,
        sender: BodySender,
        send_credit: SendCredit,
    ) -> None:
        """Initialise without parts."""
        self._call = call
        self._opened_s = _now() + suspended_s()
        self._complete: asyncio.Future[None] = asyncio.Future()
        self._buffer = BodyBuffer(call.body_bytes)
        self.on_link = LinkBody(call, sender, _now())
        self.send_credit = send_credit

    async def complete_call(self) -> CallOpen:
        """Return the call once its body is complete.

        The time of the transfer is taken off the times of the call.

        Raises
        ------
        PlacementFault
            If the body is refused or does not arrive.
        """
        await self._complete
        elapsed_ms = (_now() + suspended_s() - self._opened_s) * MS_PER_S
        return replaced(
            self._call,
            body=self._buffer.take(),
            more=False,
            body_bytes=0,
            deadline_ms=self._call.deadline_ms - elapsed_ms,
            max_wait_ms=max(
                self._call.max_wait_ms - elapsed_ms,
                MIN_SLOT_WAIT_MS,
            ),
        )

    def add(self, part: CallPart) -> None:
        """Add a part.

        Raises
        ------
        MalformedFrame
            If the part is not the next one that was requested.
        """
        size = len(part.body)
        on_link = self.on_link
        expected = min(LINK_PART_BYTES, on_link.left, on_link.on_way)
        if size != expected or part.more != (on_link.left > size):
            raise MalformedFrame(
                'length',
                f'{size} bytes of a body, expected {expected}',
            )
        self._buffer.add(part.body)

    def complete(self) -> None:
        """Let the call continue with its complete body."""
        if not self._complete.done():
            self._complete.set_result(None)

    def fail(self, fault: PlacementFault) -> None:
        """End the call, which has not run."""
        if not self._complete.done():
            self._complete.set_exception(fault)


class IncomingBodies:
    """Requests the large bodies that are admitted to the link.

    Parameters
    ----------
    admission : LinkAdmission
        Decides which body is requested when.
    """

    __slots__ = ('_admission', '_bodies', '_decisions', '_timer')

    def __init__(self, admission: LinkAdmission) -> None:
        """Initialise without bodies."""
        self._admission = admission
        self._bodies: dict[LinkBody, IncomingBody] = {}
        self._decisions = DecisionLog()
        self._timer: asyncio.TimerHandle | None = None

    @contextmanager
    def receiving(
        self,
        call: CallOpen,
        sender: BodySender,
        send_credit: SendCredit,
    ) -> Iterator[IncomingBody]:
        """Reserve the link for a body and hold its memory in a block.

        Raises
        ------
        PlacementFault
            If the body cannot be complete in time.
        """
        body = IncomingBody(call, sender, send_credit)
        on_link = body.on_link
        for late in self._admission.reserve(on_link, _now()):
            self._refuse(late)
        self._bodies[on_link] = body
        self._request_parts()
        try:
            yield body
        finally:
            self._release(on_link)

    def check_slots(self, call: CallOpen, load: TargetLoad) -> None:
        """Check that a slot will be free when a body can be complete.

        Raises
        ------
        PlacementFault
            If the calls and bodies ahead keep the slots in use for too long.
        """
        if not load.open:
            raise not_sent_fault('closed', 'target takes no calls')
        slots = max(load.slots, 1)
        calls = load.running + load.waiting + len(self._admission)
        wait_ms = (calls + 1 - slots) * load.run_ms / slots
        if wait_ms > call.max_wait_ms:
            raise not_sent_fault('busy', f'slots in use for {wait_ms:.0f} ms')

    def add(self, body: IncomingBody, part: CallPart) -> None:
        """Add a part to a body and request further ones.

        Raises
        ------
        MalformedFrame
            If the part was not requested or the body has another size.
        """
        body.add(part)
        self._admission.receive(body.on_link, len(part.body), _now())
        if not body.on_link.left:
            body.complete()
        self._request_parts()

    def _release(self, body: LinkBody) -> None:
        self._bodies.pop(body)
        self._admission.release(body)
        self._request_parts()

    def _refuse(self, body: LinkBody) -> None:
        fault = self._admission.refusal()
        self._admission.drop(body)
        self._bodies[body].fail(fault)

    def _end_silent(self, body: LinkBody) -> None:
        self._admission.drop(body)
        self._decisions.write(
            'body did not arrive',
            received=body.received,
            size=body.size,
        )
        self._bodies[body].fail(
            not_sent_fault('timeout', 'body did not arrive'),
        )

    def _request_parts(self) -> None:
        """Send the credits that are due and set the timer for the next."""
        now_s = _now()
        for silent in self._admission.silent_bodies(now_s):
            self._end_silent(silent)
        for late in self._admission.late_bodies(now_s):
            self._refuse(late)
        request = self._admission.next_request(now_s)
        while request is not None:
            body, size = request
            self._bodies[body].send_credit(size)
            request = self._admission.next_request(now_s)
        self._set_timer(self._admission.next_event_s(now_s))

    def _set_timer(self, at_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if at_s < float('inf'):
            self._timer = asyncio.get_running_loop().call_at(
                at_s,
                self._request_parts,
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
