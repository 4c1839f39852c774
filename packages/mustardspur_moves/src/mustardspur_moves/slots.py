"""Time slots in which outcomes are counted."""

from typing import NamedTuple


class Slot(NamedTuple):
    """Step of a move and time window in which a report arrived.

    The versions are compared within a slot only, so a change of the load or
    of the share between slots affects both of them alike.
    """

    step: int
    window: int


def time_order(slot: Slot) -> tuple[int, int]:
    """Return the sort key that puts slots in chronological order."""
    return slot.window, slot.step
