"""Connections to the local target of the node."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import RawResponseMessage
from mustardspur_core.http_statuses import is_status

from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.answer_limits import AnswerLimits
from mustardspur_node.mesh.answer_parser import (
    CONNECTION_CLOSED,
    CONNECTION_RESET,
    AnswerParser,
    BrokenAnswer,
    ExpectedAnswer,
    RawAnswer,
    check_delimiters,
)
from mustardspur_node.mesh.body_room import SMALL_BODY_BYTES
from mustardspur_node.mesh.socket_state import ended_in_order

# Idle timeout of a connection whose target states none; shorter than the
# idle timeout of most targets.
DEFAULT_IDLE_TIMEOUT_S: Final = 2.5
# Subtracted from a stated timeout, which has a resolution of whole seconds and
# starts when the target sends its answer.
IDLE_MARGIN_S: Final = 0.6
# Answers to other requests that are skipped before the connection is aborted.
MAX_SKIPPED_ANSWERS: Final = 4
# Refused requests whose identifiers a connection remembers.
MAX_REFUSED_IDS: Final = 64
# Longest number of seconds that a stated idle timeout may have.
MAX_TIMEOUT_DIGITS: Final = 9
# Longest body of the answer to a health check, which is discarded. Some targets
# state the condition of all that they depend on.
MAX_CHECK_BYTES: Final = 1_048_576


# Returns whether an answer belongs to the request; None if it has no
# identifier.
Identify = Callable[[RawResponseMessage], bool | None]


class TargetConnection(BaseProtocol):
    """Connection to the target that carries one request at a time.

    Parameters
    ----------
    loop : AbstractEventLoop
        The running event loop.
    budget : AnswerBudget
        Bytes of all answers that the node receives.

    Attributes
    ----------
    heard_s : float
        Time on the event loop's clock of the latest received bytes.
    refused_ids : deque of str
        Identifiers of the latest requests that the target refused on this
        connection, empty strings for requests without one.
    """

    __slots__ = (
        '_answers',
        '_budget',
        '_carried',
        '_has_ended',
        '_idle_timeout_s',
        '_in_flight',
        '_skipped',
        'heard_s',
        'idle_since_s',
        'refused_ids',
        'reusable',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        budget: AnswerBudget,
    ) -> None:
        """Initialise the connection without a request."""
        super().__init__(loop)
        self._answers = AnswerParser(self)
        self._budget = budget
        # Requests that this connection has carried.
        self._carried = 0
        self._in_flight = False
        # Whether the stream has ended for a reason that is not known yet.
        self._has_ended = False
        # Interim answers and answers to others since the latest request.
        self._skipped = 0
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.heard_s = float('-inf')
        self.idle_since_s: float = 0
        self.refused_ids: deque[str] = deque(maxlen=MAX_REFUSED_IDS)
        self.reusable = True

    @property
    def is_fresh(self) -> bool:
        """Whether the connection can carry another request."""
        idle_s = self._loop.time() - self.idle_since_s
        transport = self.transport
        return (
            self.reusable
            and transport is not None
            and not transport.is_closing()
            and idle_s < self._idle_timeout_s
        )

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; abort if they are no answer to a request."""
        self.heard_s = self._loop.time()
        if self._in_flight:
            self._answers.feed(received)
        if self._answers.failure or not self._in_flight:
            self.abort()

    def pause_reading(self) -> None:
        """Go on, since each read is kept or discarded as it arrives."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing, since reading never pauses."""

    def eof_received(self) -> None:
        """Handle the end of the stream, which may complete an answer."""
        self.reusable = False
        if self.transport is None:
            return
        in_order = ended_in_order(self.transport)
        if in_order:
            self._answers.feed_eof()
        elif in_order is None:
            # The loss of the connection comes next, with the error of a write.
            self._has_ended = True
        else:
            self._answers.fail(CONNECTION_RESET)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the request in flight."""
        self.reusable = False
        if self._has_ended and isinstance(exc, BrokenPipeError):
            # The reset came after the end of the stream.
            self._answers.feed_eof()
        is_reset = self._has_ended or exc is not None
        self._answers.fail(CONNECTION_RESET if is_reset else CONNECTION_CLOSED)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Abort the connection, so that the target can cancel its request."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self,
        method: str,
        head: bytes,
        body: bytes,
        identify: Identify,
    ) -> RawAnswer:
        """Send a request and return its complete answer.

        Parameters
        ----------
        identify : callable
            Returns whether an answer belongs to the request, None if it has
            no identifier. Late and surplus answers are read and discarded.

        Raises
        ------
        BrokenAnswer
            If there is no complete answer; the call may have run.
        """
        is_wanted = partial(self._is_wanted, identify)
        with self._budget.receiving() as held:
            limits = AnswerLimits(self._budget.answer_bytes)
            expected = ExpectedAnswer(is_wanted, limits, held)
            self._answers.begin(method, expected)
            return await self._answer_to(head, body)

    async def check(self, head: bytes) -> RawAnswer:
        """Send a health check and return its answer, whose body is discarded.

        It takes nothing of the budget of answers to calls.

        Raises
        ------
        BrokenAnswer
            If there is no complete answer, or a long one.
        """
        limits = AnswerLimits(MAX_CHECK_BYTES)
        is_wanted = partial(self._is_wanted, _is_any)
        self._answers.begin('GET', ExpectedAnswer(is_wanted, limits, None))
        return await self._answer_to(head, b'')

    async def _answer_to(self, head: bytes, body: bytes) -> RawAnswer:
        transport = self.transport
        if transport is None:
            raise BrokenAnswer(CONNECTION_CLOSED)
        self._in_flight = True
        self._skipped = 0
        self._carried += 1
        _write_request(transport, head, body)
        try:
            answer = await self._answers.next_answer()
        except BaseException:
            self.abort()
            raise
        finally:
            self._in_flight = False
            self._answers.end()
        self._finish(transport)
        return answer

    def _finish(self, transport: asyncio.Transport) -> None:
        if self._answers.has_more or transport.get_write_buffer_size():
            self.abort()
        self.idle_since_s = self._loop.time()
        if not self.reusable:
            transport.close()

    def _is_wanted(
        self, identify: Identify, message: RawResponseMessage
    ) -> bool:
        """Return whether an answer is the one to the request in flight.

        Raises
        ------
        BrokenAnswer
            If none can be.
        """
        if message.should_close:
            self.reusable = False
        self._idle_timeout_s = _idle_timeout_s(message, self._idle_timeout_s)
        if not is_status(message.code):
            raise BrokenAnswer('status is none of HTTP')
        if message.code >= HTTPStatus.OK:
            if self._is_own(message, identify):
                check_delimiters(message)
                return True
            self.reusable = False
        self._skipped += 1
        if self._skipped == MAX_SKIPPED_ANSWERS:
            raise BrokenAnswer('answers belong to other requests')
        return False

    def _is_own(self, message: RawResponseMessage, identify: Identify) -> bool:
        """Return whether an answer belongs to the request in flight.

        Explanation
        ===========

        On a connection that has carried another request, an answer without
        an identifier can be a late copy of an earlier one. Its connection is
        not used again, so that no copy of it can follow.

        Raises
        ------
        BrokenAnswer
            If the request that the answer belongs to cannot be determined.
        """
        is_own = identify(message)
        if is_own is None:
            self.reusable = False
            if self._carried > 1:
                raise BrokenAnswer('answer has no identifier')
            return True
        return is_own


def _write_request(
    transport: asyncio.Transport, head: bytes, body: bytes
) -> None:
    """Write a request; a large body is not copied."""
    if len(body) > SMALL_BODY_BYTES:
        transport.write(head)
        transport.write(body)
        return
    transport.write(head + body if body else head)


def _idle_timeout_s(message: RawResponseMessage, default_s: float) -> float:
    """Return the idle timeout that an answer states, with a margin."""
    stated = message.headers.get('keep-alive', '')
    for part in stated.split(','):
        name, _, digits = part.strip().partition('=')
        is_number = digits.isdecimal() and len(digits) <= MAX_TIMEOUT_DIGITS
        if name.lower() == 'timeout' and is_number:
            return max(int(digits) - IDLE_MARGIN_S, 0)
    return default_s


def _is_any(_: RawResponseMessage) -> bool:
    """Take the first answer on a connection for the one to the request."""
    return True
