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
        '_first_part',
        '_held',
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
        on_may_run: Callable[[], None],
    ) -> None:
        """Initialise a call that has not been sent."""
        self._first_part: CallAnswer | None = None
        self._held = held
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
            If the frame is of another type.
        """
        if isinstance(body, CallFailed):
            self.fail(_place_fault(body))
        elif isinstance(body, CallAnswer | CallPart):
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
        if isinstance(body, CallAnswer):
            self._first_part = body
        try:
            self._held.add(body.body)
        except AnswerTooLong as error:
            self.fail(maybe_run_fault('broken', str(error)))
        head = self._first_part
        if body.more or head is None or self.answer.done():
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
