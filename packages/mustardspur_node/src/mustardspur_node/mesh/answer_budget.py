"""Limit on the bytes of answers that a node holds."""

from collections.abc import Iterator
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


class AnswerTooLong(Exception):
    """An answer, or all in flight, exceed the bytes that a node holds."""


class AnswerBudget:
    """Bytes of all answers that are received or not written yet.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be held at a time.
    room : BodyRoom or None
        Bytes of all bodies that the node holds, in which answers are counted;
        None for one of its own.
    """

    __slots__ = ('_room', 'answer_bytes', 'held_bytes', 'limit_bytes')

    def __init__(
        self,
        limit_bytes: int = MAX_HELD_BYTES,
        room: BodyRoom | None = None,
    ) -> None:
        """Initialise without answers."""
        self._room = room or BodyRoom()
        self.limit_bytes = limit_bytes
        self.answer_bytes = int(ANSWER_FRACTION * limit_bytes)
        self.held_bytes = 0

    def resize(self, memory_mb: float) -> None:
        """Set the memory of the process, before any answer is held."""
        self.limit_bytes = int(ANSWERS_PART * memory_mb * BYTES_PER_MIB)
        self.answer_bytes = int(ANSWER_FRACTION * self.limit_bytes)

    @contextmanager
    def receiving(self) -> Iterator['HeldAnswer']:
        """Count the bytes of one answer until the end of a block."""
        held = HeldAnswer(self)
        try:
            yield held
        finally:
            self.release(held.size)
            held.clear()

    def take(self, size: int) -> None:
        """Count further bytes.

        Raises
        ------
        AnswerTooLong
            If the limit would be exceeded.
        """
        if self.held_bytes + size > self.limit_bytes:
            raise AnswerTooLong('no room for further answers')
        self.hold(size)

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

    __slots__ = ('_budget', '_buffer', 'size')

    def __init__(self, budget: AnswerBudget) -> None:
        """Initialise without parts."""
        self._budget = budget
        self._buffer = BodyBuffer()
        self.size = 0

    def take(self) -> bytes:
        """Return the parts joined, and hold them no longer."""
        return self._buffer.take()

    def clear(self) -> None:
        """Hold no part."""
        self._buffer = BodyBuffer()

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
        self._budget.take(len(part))
        self.size = size
        self._buffer.add(part)
