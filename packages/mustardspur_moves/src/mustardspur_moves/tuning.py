"""What the two values of ``weighing`` change."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record


class Tuning(Record):
    """Intervals and thresholds of one value of ``weighing``.

    Parameters
    ----------
    report_s : float
        Between two reports of a node.
    window_s : float
        Length of a time window of the evidence.
    decide_s : float
        Between two decisions of the leader.
    false_alarm : float
        Probability with which a good version is taken back over a move.
    """

    __slots__ = ('report_s', 'window_s', 'decide_s', 'false_alarm')
    report_s: float
    window_s: float
    decide_s: float
    false_alarm: float


# Probabilities of a false alarm over a move; the higher one detects earlier.
_RARE: Final = 1e-4
_OCCASIONAL: Final = 1e-3

_SPARES_BYTES: Final = Tuning(
    report_s=10,
    window_s=2,
    decide_s=2,
    false_alarm=_RARE,
)
_DETECTS_QUICKLY: Final = Tuning(
    report_s=1,
    window_s=1,
    decide_s=1,
    false_alarm=_OCCASIONAL,
)


def tuning_of(policy: MovePolicy) -> Tuning:
    """Return the tuning that a profile asks for."""
    if policy.weighing == 'control_bytes':
        return _SPARES_BYTES
    return _DETECTS_QUICKLY
