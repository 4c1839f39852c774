"""Large bodies of the calls that are received over one stream."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial

from mustardspur_core.mesh.call_messages import BodyCredit, CallOpen, CallPart
from mustardspur_core.record import replaced
from mustardspur_core.wire import FrameStream

from mustardspur_node.mesh.incoming_bodies import IncomingBody
from mustardspur_node.mesh.link_admission import BodySender
from mustardspur_node.mesh.local_target import LocalTarget


class StreamBodies:
    """Large bodies that one stream carries.

    Parameters
    ----------
    stream : FrameStream
        Stream to the sender.
    local : LocalTarget
        The target that the calls are for.
    """

    __slots__ = ('_bodies_by_call', '_local', '_room', '_sender', '_stream')

    def __init__(self, stream: FrameStream, local: LocalTarget) -> None:
        """Initialise without bodies."""
        self._stream = stream
        self._local = local
        self._room = local.admission.link.bodies.room
        self._sender = BodySender()
        self._bodies_by_call: dict[int, IncomingBody] = {}

    @asynccontextmanager
    async def completed(
        self,
        call_id: int,
        call: CallOpen,
    ) -> AsyncIterator[CallOpen]:
        """Yield the call with its complete body, and hold the body's memory.

        Explanation
        ===========

        The order is link, body, slot, confirmation. A slot is held only once
        the body is complete; when the link is reserved, a slot has to be
        expected by then.

        Raises
        ------
        PlacementFault
            If the body cannot be complete in time, is not sent, or no slot
            is expected in time. The call has not run.
        """
        if not call.body_bytes and not call.body:
            yield call
            return
        if not call.body_bytes:
            with self._room.holding(len(call.body)):
                yield call
            return
        self._local.current_report(call)
        admission = self._local.admission
        incoming = admission.link.incoming
        call = self._with_own_run(call)
        incoming.check_slots(call, admission.load)
        send_credit = partial(self._send_credit, call_id)
        with incoming.receiving(call, self._sender, send_credit) as body:
            with self._listed(call_id, body):
                complete = await body.complete_call()
            yield complete

    def add(self, call_id: int, part: CallPart) -> bool:
        """Add a part; return whether it belongs to a large body.

        Raises
        ------
        MalformedFrame
            If the part was not requested or the body has another size.
        """
        body = self._bodies_by_call.get(call_id)
        if body is None:
            return False
        self._local.admission.link.incoming.add(body, part)
        return True

    def _with_own_run(self, call: CallOpen) -> CallOpen:
        """Return the call with its wait reduced by the run time of its route.

        The sender knows the mean over all routes of the target only, which
        short calls can make far lower.
        """
        admission = self._local.admission
        mean_ms = admission.run_times.expected_ms
        longer_ms = max(admission.ranks.mean_ms(call.route) - mean_ms, 0)
        return replaced(call, max_wait_ms=call.max_wait_ms - longer_ms)

    @contextmanager
    def _listed(self, call_id: int, body: IncomingBody) -> Iterator[None]:
        """Accept parts of a body in a block."""
        self._bodies_by_call[call_id] = body
        try:
            yield
        finally:
            self._bodies_by_call.pop(call_id)

    def _send_credit(self, call_id: int, size: int) -> None:
        self._stream.enqueue(BodyCredit(bytes=size), call_id)
