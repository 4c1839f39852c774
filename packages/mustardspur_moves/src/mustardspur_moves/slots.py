"""Places of outcomes in time."""

from typing import NamedTuple


class Slot(NamedTuple):
    """Step of the move and time window in which a report arrived.

    New and old version are compared within a slot only, so that a change of
    load or of the share between slots affects both alike.
    """

    step: int
    window: int


def time_of(slot: Slot) -> tuple[int, int]:
    """Return the sort key by which slots follow each other in time."""
    return slot.window, slot.step
