"""Shares of a new version over the time that its transfer has."""

from typing import Final

# Part of the calls that a version gets until it is known to work. It stays
# below the tenth that a bad version may get in all, with room for the calls
# of the steps after it.
FIRST_SHARE: Final = 0.05
# Faults that show only some seconds after a start are waited for.
FIRST_STEP_END: Final = 0.4
# Shares by the part of the time after which they hold.
STEPS: Final = (
    (FIRST_STEP_END, 0.15),
    (0.47, 0.3),
    (0.54, 0.55),
    (0.61, 1.0),
)
# The last calls to the old version have ended by then: its targets stop
# without draining once the transfer is reported as completed.
COMPLETE_AT: Final = 0.76
# Answered calls without which no step beyond the first is taken.
MIN_RUNS: Final = 25


def planned_share(progress: float, runs: int) -> float:
    """Return the share at a point of the time.

    Parameters
    ----------
    progress : float
        Part of the time that has passed.
    runs : int
        Calls that the new version has answered.
    """
    share = FIRST_SHARE
    if runs < MIN_RUNS:
        return share
    for begins, step_share in STEPS:
        if progress >= begins:
            share = step_share
    return share
