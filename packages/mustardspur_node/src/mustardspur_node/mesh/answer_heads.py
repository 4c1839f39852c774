"""Heads of the answers that other nodes send."""

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import chain
from typing import Final

from mustardspur_core.http_statuses import is_final_status
from mustardspur_core.mesh.call_messages import CallAnswer

from mustardspur_node.mesh.answer_budget import AnswerBudget, AnswerTooLong
from mustardspur_node.mesh.body_room import SMALL_BODY_BYTES
from mustardspur_node.mesh.calls import maybe_run_fault

# Memory of a head. Nodes forward heads of at most 128 KiB.
MAX_HEAD_BYTES: Final = 262_144
# Memory that a header takes besides its characters.
HEADER_BYTES: Final = 200
_HEADER_FIELDS: Final = 2
_LINE_ENDS: Final = ('\r', '\n', '\0')


def head_bytes(answer: CallAnswer) -> int:
    """Return the memory that the head of an answer takes.

    Raises
    ------
    PlacementFault
        If it cannot be written as the head of an answer to a caller, or is
        too long.
    """
    if not is_final_status(answer.status):
        raise maybe_run_fault('broken', 'node sent a status that is none')
    if any(len(header) != _HEADER_FIELDS for header in answer.headers):
        raise maybe_run_fault('broken', 'node sent a header without a value')
    text = ''.join(chain((answer.reason,), *answer.headers))
    if any(end in text for end in _LINE_ENDS):
        raise maybe_run_fault('broken', 'node sent a header of several lines')
    size = len(text) + HEADER_BYTES * len(answer.headers)
    if size > MAX_HEAD_BYTES:
        raise maybe_run_fault(
            'broken',
            f'node sent a head of more than {MAX_HEAD_BYTES} bytes',
        )
    return size


class HeldHead:
    """Head of an answer that is being received.

    Parameters
    ----------
    budget : AnswerBudget
        Bytes of all answers.
    """

    __slots__ = ('_budget', 'size')

    def __init__(self, budget: AnswerBudget) -> None:
        """Initialise without a head."""
        self._budget = budget
        self.size = 0

    def hold(self, size: int) -> None:
        """Count the bytes of a head; small ones are not counted.

        Raises
        ------
        PlacementFault
            If all answers would exceed the budget.
        """
        if size <= SMALL_BODY_BYTES:
            return
        try:
            self._budget.take(size)
        except AnswerTooLong as error:
            raise maybe_run_fault('broken', str(error)) from error
        self.size += size


@contextmanager
def receiving_head(budget: AnswerBudget) -> Iterator[HeldHead]:
    """Count the bytes of the head of one answer until the end of a block."""
    head = HeldHead(budget)
    try:
        yield head
    finally:
        budget.release(head.size)
