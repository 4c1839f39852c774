"""Limit on the bytes of answers that a node holds."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

# All answers in flight together. Each is held whole before it is forwarded, so
# that a truncated one never looks complete, and is copied once on the way; the
# instances have 200 MB. A target that sends without end fails its call here.
MAX_HELD_BYTES: Final = 33_554_432
# One answer takes half at most, so that one without end leaves room for others.
ANSWER_FRACTION: Final = 0.5


class AnswerTooLong(Exception):
    """An answer, or all in flight, exceed the bytes that a node holds."""


class AnswerBudget:
    """Bytes of all answers that are being received.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be held at a time.
    """

    __slots__ = ('_limit_bytes', 'answer_bytes', 'held_bytes')

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        """Initialise without answers."""
        self._limit_bytes = limit_bytes
        self.answer_bytes = int(ANSWER_FRACTION * limit_bytes)
        self.held_bytes = 0

    @contextmanager
    def receiving(self) -> Iterator['HeldAnswer']:
        """Count the bytes of one answer until the end of a block."""
        held = HeldAnswer(self)
        try:
            yield held
        finally:
            self.held_bytes -= held.size

    def take(self, size: int) -> None:
        """Count further bytes.

        Raises
        ------
        AnswerTooLong
            If the limit would be exceeded.
        """
        needed = self.held_bytes + size
        if needed > self._limit_bytes:
            raise AnswerTooLong(
                f'{needed} bytes of answers, at most {self._limit_bytes}',
            )
        self.held_bytes = needed


class HeldAnswer:
    """Parts of an answer that is being received.

    Parameters
    ----------
    budget : AnswerBudget
        Bytes of all answers.
    """

    __slots__ = ('_budget', '_parts', 'size')

    def __init__(self, budget: AnswerBudget) -> None:
        """Initialise without parts."""
        self._budget = budget
        self._parts: list[bytes] = []
        self.size = 0

    @property
    def body(self) -> bytes:
        """The parts joined."""
        return b''.join(self._parts)

    def add(self, part: bytes) -> None:
        """Add a part.

        Raises
        ------
        AnswerTooLong
            If the answer, or all answers, would exceed the budget.
        """
        size = self.size + len(part)
        if size > self._budget.answer_bytes:
            raise AnswerTooLong(f'answer has more than {self.size} bytes')
        self._budget.take(len(part))
        self.size = size
        self._parts.append(part)
