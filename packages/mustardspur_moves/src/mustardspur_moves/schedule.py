"""Plan of a move's shares, from the stated time backwards."""

import math
from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

# The share that a pause may take: a partition between regions, or a few
# elections, still leaves a good version in time.
RESERVED_SHARE: Final = 0.35
# Factor between two shares.
GROWTH: Final = 2.0
# Share at which a second of calls tells most of a difference.
EVEN_SHARE: Final = 0.5
# Last share at which both versions can be compared; it shows faults that
# appear only under nearly full load.
LAST_COMPARED_SHARE: Final = 0.9
FULL_SHARE: Final = 1.0
MIN_WEIGHT: Final = 0.01
# Time before the stated one that the last step needs to come into force.
LARGEST_MARGIN_S: Final = 10.0
MARGIN_SHARE: Final = 0.05
# A raise, its confirmation by every node and a heartbeat that is missed take
# this long on a busy machine; a short move gives up at most a part for it.
CONFIRMATION_S: Final = 3.0
CONFIRMATION_SHARE: Final = 0.2
# Calls of the new version before the first raise, and for each further one.
FIRST_CALLS: Final = 20
CALLS_PER_STAGE: Final = 30


class Stage(Record):
    """A share, when it is due, and the calls that have to come before it.

    Parameters
    ----------
    share : float
        Share of the new version.
    due_s : float
        Wall clock in seconds at which the share is planned.
    needed_calls : int
        Calls of the new version, at all shares below this one.
    """

    __slots__ = ('share', 'due_s', 'needed_calls')
    share: float
    due_s: float
    needed_calls: int


class Schedule:
    """The stages of one move.

    Explanation
    ===========

    The information on a difference of two versions grows with
    ``share * (1 - share)`` a second, the harm of a bad one with the share.
    A stage lasts in proportion to the root of the former, which leaves the
    small shares early and dwells where both versions get enough calls.

    Parameters
    ----------
    policy : MovePolicy
        Gives the first share.
    started_s, by_s : float
        Start and stated time of the move, wall clock in seconds.
    """

    __slots__ = ('stages', 'last_raise_s')

    def __init__(
        self, policy: MovePolicy, started_s: float, by_s: float
    ) -> None:
        """Plan all stages."""
        length_s = max(by_s - started_s, 0)
        margin_s = _margin_s(length_s)
        self.last_raise_s = by_s - margin_s
        shares = _shares(policy.first_share)
        weights = [math.sqrt(share * (1 - share)) for share in shares]
        planned_s = (1 - RESERVED_SHARE) * length_s
        unit_s = planned_s / max(sum(weights), MIN_WEIGHT)
        self.stages = [
            Stage(
                share=share,
                due_s=started_s + unit_s * sum(weights[:place]),
                needed_calls=_needed_calls(place),
            )
            for place, share in enumerate(shares)
        ]

    @classmethod
    def of(cls, move: Move, policy: MovePolicy) -> 'Schedule':
        """Return the schedule of a move."""
        return cls(policy, move.started_s, move.by_s)

    def after(self, share: float) -> Stage | None:
        """Return the next stage above a share, None at the full share."""
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
    margin_s = min(LARGEST_MARGIN_S, MARGIN_SHARE * length_s)
    return max(confirmation_s, margin_s)


def _shares(first_share: float) -> list[float]:
    shares = [first_share]
    while shares[-1] * GROWTH < EVEN_SHARE:
        shares.append(round(shares[-1] * GROWTH, 4))
    later = (EVEN_SHARE, LAST_COMPARED_SHARE, FULL_SHARE)
    return shares + [share for share in later if share > shares[-1]]


def _needed_calls(place: int) -> int:
    if place == 0:
        return 0
    return FIRST_CALLS + CALLS_PER_STAGE * (place - 1)
