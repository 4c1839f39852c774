"""Schedule of a move's shares, planned backwards from its deadline."""

import math
from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

# Share of the move's time that is left unplanned. A partition between regions
# or a few elections can use it up, and a good version still meets its deadline.
RESERVED_SHARE: Final = 0.35
# Factor between two successive shares below `EVEN_SHARE`.
GROWTH: Final = 2.0
# Share at which calls carry the most information on a difference.
EVEN_SHARE: Final = 0.5
# Largest share at which both versions still get calls to compare. It reveals
# faults that occur only under nearly full load.
LAST_COMPARED_SHARE: Final = 0.9
FULL_SHARE: Final = 1.0
MIN_WEIGHT: Final = 0.01
# Time before the deadline that is reserved for the last step to come into
# force.
MAX_MARGIN_S: Final = 10.0
MARGIN_SHARE: Final = 0.05
# A raise, its confirmation by every node and one missed heartbeat take this
# long on a busy machine. A short move reserves at most a part of its time.
CONFIRMATION_S: Final = 3.0
CONFIRMATION_SHARE: Final = 0.2
# Calls of the new version that the second stage needs, and additional calls
# for each further stage.
FIRST_CALLS: Final = 20
CALLS_PER_STAGE: Final = 30


class Stage(Record):
    """One stage of a move: its share, due time and required calls.

    Parameters
    ----------
    share : float
        Share of the new version.
    due_s : float
        Wall clock time in seconds before which the share is not reached.
    needed_calls : int
        Calls of the new version at all lower shares before this stage.
    """

    __slots__ = ('share', 'due_s', 'needed_calls')
    share: float
    due_s: float
    needed_calls: int


class Schedule:
    """Stages of one move, in ascending order of share.

    Explanation
    ===========

    The information on a difference between two versions grows by
    ``share * (1 - share)`` per second, the harm of a bad version by the
    share. The duration of a stage is proportional to the square root of the
    former, so small shares are short and most time is spent where both
    versions get enough calls.

    Parameters
    ----------
    policy : MovePolicy
        Policy with the first share.
    started_s, by_s : float
        Start and deadline of the move, wall clock time in seconds.
    """

    __slots__ = ('last_raise_s', 'stages')

    def __init__(
        self, policy: MovePolicy, started_s: float, by_s: float
    ) -> None:
        """Compute all stages and the time of the last raise."""
        length_s = max(by_s - started_s, 0)
        margin_s = _margin_s(length_s)
        self.last_raise_s = by_s - margin_s
        shares = _shares(policy.first_share)
        weights = [math.sqrt(share * (1 - share)) for share in shares]
        planned_s = (1 - RESERVED_SHARE) * length_s
        seconds_per_weight = planned_s / max(sum(weights), MIN_WEIGHT)
        self.stages = [
            Stage(
                share=share,
                due_s=started_s + seconds_per_weight * sum(weights[:index]),
                needed_calls=_needed_calls(index),
            )
            for index, share in enumerate(shares)
        ]

    @classmethod
    def of(cls, move: Move, policy: MovePolicy) -> 'Schedule':
        """Return the schedule of a move."""
        return cls(policy, move.started_s, move.by_s)

    def after(self, share: float) -> Stage | None:
        """Return the first stage above a share, None at the full share."""
        return next(
            (stage for stage in self.stages if stage.share > share),
            None,
        )

    @property
    def last(self) -> Stage:
        """The stage with the full share."""
        return self.stages[-1]


def _margin_s(length_s: float) -> float:
    confirmation_s = min(CONFIRMATION_S, CONFIRMATION_SHARE * length_s)
    margin_s = min(MAX_MARGIN_S, MARGIN_SHARE * length_s)
    return max(confirmation_s, margin_s)


def _shares(first_share: float) -> list[float]:
    shares = [first_share]
    while shares[-1] * GROWTH < EVEN_SHARE:
        shares.append(round(shares[-1] * GROWTH, 4))
    later = (EVEN_SHARE, LAST_COMPARED_SHARE, FULL_SHARE)
    return shares + [share for share in later if share > shares[-1]]


def _needed_calls(index: int) -> int:
    if index == 0:
        return 0
    return FIRST_CALLS + CALLS_PER_STAGE * (index - 1)
