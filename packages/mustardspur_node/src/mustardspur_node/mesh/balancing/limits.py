"""Bounds on the placements of a call."""

from typing import Final

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.call_progress import CallProgress

# Maximum number of targets that a call waits at or is sent to.
MAX_PLACEMENTS: Final = 4
# Maximum number of targets that refuse a call which may wait there, with the
# policies that bound their offers: in the own region, in other regions if the
# own one has targets, and in other regions if it has none. Under an overload
# of 1.5, each accepts two of five calls if two are asked.
MAX_REFUSED_WAITS: Final = 2
MAX_REFUSED_FAR_WAITS: Final = 1
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


def refused_waits(progress: CallProgress, targets: list[MeshTarget]) -> int:
    """Return at how many of some targets a call found no slot in time."""
    nodes = progress.first_offers.refused_wait_nodes
    return sum(target.node in nodes for target in targets) if nodes else 0
