"""A call in flight on a stream to another node."""

import asyncio
from collections.abc import Callable

from mustardspur_core.mesh.call_messages import (
    FAULT_KINDS,
    BodyCredit,
    CallAnswer,
    CallFailed,
    CallOpen,
    CallPart,
)
from mustardspur_core.wire import MalformedFrame

from mustardspur_node.mesh.answer_budget import AnswerTooLong, HeldAnswer
from mustardspur_node.mesh.answer_heads import HeldHead, head_bytes
from mustardspur_node.mesh.body_credit import BodyCreditBalance
from mustardspur_node.mesh.calls import (
    PlacementFault,
    TargetAnswer,
    maybe_run_fault,
    not_sent_fault,
)


class CallInFlight:
    """A call in flight on a stream.

    Parameters
    ----------
    call : CallOpen
        The call.
    held : HeldAnswer
        Receives the parts of the answer's body.
    held_head : HeldHead
        Counts the bytes of the answer's head.
    on_may_run : callable
        Called once the target may run the call.

    Attributes
    ----------
    answer : asyncio.Future
        The complete answer, or the fault.
    credit : BodyCreditBalance
        Bytes of a large body that the other node has requested.
    may_run : bool
        Whether the target may run the call.
    """

    __slots__ = (
        '_head',
        '_held',
        '_held_head',
        '_on_may_run',
        '_once',
        'answer',
        'credit',
        'may_run',
    )

    def __init__(
        self,
        call: CallOpen,
        held: HeldAnswer,
        held_head: HeldHead,
        on_may_run: Callable[[], None],
    ) -> None:
        """Initialise a call that has not been sent."""
        self._head: CallAnswer | None = None
        self._held = held
        self._held_head = held_head
        self._on_may_run = on_may_run
        self._once = call.confirm
        self.answer: asyncio.Future[TargetAnswer] = asyncio.Future()
        self.credit = BodyCreditBalance()
        self.may_run = False

    @property
    def must_wait(self) -> bool:
        """Whether only the answer can tell the outcome of the call.

        The call may run and may not run a second time, so nothing is gained
        by ending it before its stream ends or its deadline passes.
        """
        return self._once and self.may_run

    def allow_run(self) -> None:
        """Record that the target may run the call from now on."""
        self.may_run = True
        self._on_may_run()

    def apply(self, body: object) -> None:
        """Apply a frame of the answer.

        Raises
        ------
        MalformedFrame
            If the frame is of another type, or a part comes before the head.
        PlacementFault
            If the answer is not one for a caller, or too long. The rest of it
            is not waited for.
        """
        if isinstance(body, CallFailed):
            self.fail(_place_fault(body))
        elif isinstance(body, CallAnswer | CallPart):
            # What arrives after the end, or a failure, is not kept.
            if not self.answer.done():
                self._add_part(body)
        elif isinstance(body, BodyCredit):
            self.credit.add(body.bytes)
        else:
            raise MalformedFrame(
                'type',
                f'expected part of an answer, got {type(body).__name__}',
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

    def _add_part(self, body: CallAnswer | CallPart) -> None:
        """Add a part of the answer; the last part completes the call."""
        head = self._head
        if isinstance(body, CallAnswer):
            head = self._add_head(body)
        if head is None:
            raise MalformedFrame('type', 'CallPart before CallAnswer')
        try:
            self._held.add(body.body)
        except AnswerTooLong as error:
            raise maybe_run_fault('broken', str(error)) from error
        # The first part is held with the others.
        head.body = b''
        if body.more:
            return
        self.answer.set_result(
            TargetAnswer(
                status=head.status,
                reason=head.reason,
                headers=head.headers,
                body=self._held.take(),
                load=head.load,
            ),
        )

    def _add_head(self, body: CallAnswer) -> CallAnswer:
        if self._head is not None:
            raise MalformedFrame('type', 'CallAnswer after CallAnswer')
        self._held_head.hold(head_bytes(body))
        self._head = body
        return body


def _place_fault(failed: CallFailed) -> PlacementFault:
    # A node of another version may state a kind that is not known here, and a
    # faulty one any text.
    kind = failed.kind if failed.kind in FAULT_KINDS else 'broken'
    return PlacementFault(
        kind,
        failed.detail,
        not_run=failed.not_run,
        arrived=not failed.not_run or kind == 'refused',
    )
