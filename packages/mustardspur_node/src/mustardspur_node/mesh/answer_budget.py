"""Limit on the bytes of answers that a node holds."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from functools import partial
from typing import Final

from mustardspur_core.held_bytes import DEFAULT_MEMORY_MB
from mustardspur_core.units import BYTES_PER_MIB

from mustardspur_node.mesh.body_buffer import BodyBuffer
from mustardspur_node.mesh.body_room import SMALL_BODY_BYTES, BodyRoom
from mustardspur_node.mesh.request_body import RequestBody

# Part of the memory of the process that all answers in flight may take
# together, from all targets and other nodes; 32 MiB of 300. Each is held whole
# before it is forwarded, so that a truncated one never looks complete.
ANSWERS_PART: Final = 0.107
MAX_HELD_BYTES: Final = int(ANSWERS_PART * DEFAULT_MEMORY_MB * BYTES_PER_MIB)
# One answer takes half at most, so that one without end leaves room for others.
ANSWER_FRACTION: Final = 0.5
_NO_ROOM: Final = 'no room for further answers'


def _do_nothing() -> None:
    """Stand in for a callback that is not set."""


class AnswerTooLong(Exception):
    """An answer, or all in flight, exceed the bytes that a node holds."""


class AnswerBudget:
    """Bytes of all answers that are received or not written yet.

    Explanation
    ===========

    At the limit the longest answer that is being received fails, so that
    answers without end take no room from shorter ones.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be held at a time.
    room : BodyRoom or None
        Bytes of all bodies that the node holds, in which answers are counted;
        None for one of its own.

    Attributes
    ----------
    on_full : callable
        Called when an answer has no room.
    """

    __slots__ = (
        '_receiving',
        '_room',
        'answer_bytes',
        'held_bytes',
        'limit_bytes',
        'on_full',
    )

    def __init__(
        self,
        limit_bytes: int = MAX_HELD_BYTES,
        room: BodyRoom | None = None,
    ) -> None:
        """Initialise without answers."""
        self._room = room or BodyRoom()
        # Answers that are not complete.
        self._receiving: set[HeldAnswer] = set()
        self.limit_bytes = limit_bytes
        self.answer_bytes = int(ANSWER_FRACTION * limit_bytes)
        self.held_bytes = 0
        self.on_full: Callable[[], object] = _do_nothing

    def resize(self, memory_mb: float) -> None:
        """Set the memory of the process, before any answer is held."""
        self.limit_bytes = int(ANSWERS_PART * memory_mb * BYTES_PER_MIB)
        self.answer_bytes = int(ANSWER_FRACTION * self.limit_bytes)

    @contextmanager
    def receiving(self) -> Iterator['HeldAnswer']:
        """Count the bytes of one answer until the end of a block."""
        held = HeldAnswer(self)
        self._receiving.add(held)
        try:
            yield held
        finally:
            self._receiving.discard(held)
            held.clear()

    def make_room(self, size: int, held: 'HeldAnswer') -> None:
        """Give up longer answers until further bytes of one have room."""
        while self.held_bytes + size > self.limit_bytes:
            longest = max(self._receiving, key=_size, default=held)
            if longest.size <= held.size + size:
                return
            longest.give_up()

    def take(self, size: int) -> None:
        """Count further bytes.

        Raises
        ------
        AnswerTooLong
            If the limit would be exceeded.
        """
        if self.held_bytes + size > self.limit_bytes:
            self.on_full()
            raise AnswerTooLong(_NO_ROOM)
        self.hold(size)

    def complete(self, held: 'HeldAnswer') -> None:
        """Let an answer fail no more, since it is complete."""
        self._receiving.discard(held)

    def hold(self, size: int) -> None:
        """Count bytes, also beyond the limit."""
        self.held_bytes += size
        self._room.hold(size)

    def release(self, size: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes -= size
        self._room.release(size)

    def sending(self, size: int) -> AbstractContextManager[None]:
        """Count a large answer in the block that sends it to another node."""
        if size <= SMALL_BODY_BYTES:
            return nullcontext()
        return self._sending(size)

    def hold_until_written(self, request: RequestBody, size: int) -> None:
        """Count a large answer until it is written to its caller."""
        if size > SMALL_BODY_BYTES:
            self.hold(size)
            request.on_answered = partial(self.release, size)

    @contextmanager
    def _sending(self, size: int) -> Iterator[None]:
        self.hold(size)
        try:
            yield
        finally:
            self.release(size)


class HeldAnswer:
    """Parts of an answer that is being received.

    Explanation
    ===========

    It holds nothing after the block of `AnswerBudget.receiving`, since the
    traceback of a failure may refer to it until a garbage collection.

    Parameters
    ----------
    budget : AnswerBudget
        Bytes of all answers.
    """

    __slots__ = ('_budget', '_buffer', '_is_given_up', 'size')

    def __init__(self, budget: AnswerBudget) -> None:
        """Initialise without parts."""
        self._budget = budget
        self._buffer = BodyBuffer()
        self._is_given_up = False
        self.size = 0

    def take(self) -> bytes:
        """Return the parts joined, and hold them no longer.

        Raises
        ------
        AnswerTooLong
            If the answer was given up.
        """
        if self._is_given_up:
            raise AnswerTooLong(_NO_ROOM)
        self._budget.complete(self)
        return self._buffer.take()

    def clear(self) -> None:
        """Hold no part."""
        self._budget.release(self.size)
        self._buffer = BodyBuffer()
        self.size = 0

    def give_up(self) -> None:
        """Hold no part, and fail with the next one."""
        self._is_given_up = True
        self.clear()

    def add(self, part: bytes) -> None:
        """Add a part.

        Raises
        ------
        AnswerTooLong
            If the answer, or all answers, would exceed the budget.
        """
        size = self.size + len(part)
        if size > self._budget.answer_bytes:
            raise AnswerTooLong('body too long')
        if self._is_given_up:
            raise AnswerTooLong(_NO_ROOM)
        self._budget.make_room(len(part), self)
        self._budget.take(len(part))
        self.size = size
        self._buffer.add(part)


def _size(held: HeldAnswer) -> int:
    return held.size
