"""Bounds on the placements of a call."""

from typing import Final

from mustardspur_node.mesh.call_progress import CallProgress

# Maximum number of targets that a call waits at or is sent to.
MAX_PLACEMENTS: Final = 4
# Maximum number of targets that a call is placed on in all. After a restart of
# many nodes, several in a row refuse at once, while others have free slots.
MAX_TRIED: Final = 12
# Minimum time until the deadline for another placement or a retry.
MIN_LEFT_MS: Final = 15.0


def may_place(progress: CallProgress) -> bool:
    """Return whether a call may be placed on a further target.

    Targets that were missing or closed, and first offers that were refused,
    count for `MAX_TRIED` only.
    """
    if progress.placements >= MAX_TRIED:
        return False
    passed_over = progress.turned_away + len(progress.first_offers.refused)
    if progress.placements - passed_over >= MAX_PLACEMENTS:
        return False
    return progress.left_ms() >= MIN_LEFT_MS
