"""Planned share of a new version over the duration of its transfer."""

from typing import Final

# Initial share of a new version, as a part of the exposure share. The rest is
# a reserve for calls in flight when a fault is detected and for faults that
# appear after the first raise.
FIRST_SHARE_OF_EXPOSURE: Final = 0.5
# The initial share lasts this part of the duration, since some faults appear
# only several seconds after the start of a target.
FIRST_RAISE_PROGRESS: Final = 0.55
# Pairs of progress and the share that applies from it on. Up to the full share,
# a version has got 0.6 of a tenth of the duration's calls, so that the rest
# covers the detection of a fault that begins with any of the steps.
SHARES_BY_PROGRESS: Final = (
    (FIRST_RAISE_PROGRESS, 0.12),
    (0.62, 0.4),
    (0.69, 1.0),
)
# Calls to the old version must have ended by this progress: its targets stop
# without draining once the transfer is reported as completed. The rest of the
# duration is a reserve for elections.
COMPLETION_PROGRESS: Final = 0.83
# The share is not raised before the new version has answered this many calls.
MIN_ANSWERED_CALLS: Final = 25


def planned_share(
    progress: float,
    answered_calls: int,
    exposure_share: float,
) -> float:
    """Return the planned share of a new version, 0 to 1.

    Parameters
    ----------
    progress : float
        Elapsed part of the duration of the transfer.
    answered_calls : int
        Calls that the new version has answered.
    exposure_share : float
        Part of the calls that a faulty version may receive.
    """
    share = FIRST_SHARE_OF_EXPOSURE * exposure_share
    if answered_calls < MIN_ANSWERED_CALLS:
        return share
    for step_progress, step_share in SHARES_BY_PROGRESS:
        if progress >= step_progress:
            share = step_share
    return share
