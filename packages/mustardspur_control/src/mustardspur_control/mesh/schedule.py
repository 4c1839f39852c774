"""Shares of a new version over the time that its transfer has."""

from typing import Final

# Part of the calls that a version gets until it is known to work, as a part of
# what a bad version may get in all: the rest is for calls that are on their
# way when the fault shows, and for faults that show after the first step.
EXPOSED_PART: Final = 0.5
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


def planned_share(
    progress: float,
    runs: int,
    exposure_share: float,
) -> float:
    """Return the share at a point of the time.

    Parameters
    ----------
    progress : float
        Part of the time that has passed.
    runs : int
        Calls that the new version has answered.
    exposure_share : float
        Part of the calls that a bad version may get.
    """
    share = EXPOSED_PART * exposure_share
    if runs < MIN_RUNS:
        return share
    for begins, step_share in STEPS:
        if progress >= begins:
            share = step_share
    return share
