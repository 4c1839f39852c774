"""Intervals and false alarm rates for each value of ``weighing``."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record


class Tuning(Record):
    """Intervals and false alarm rate for one value of ``weighing``.

    Parameters
    ----------
    report_interval_s : float
        Time between two reports of a node, in seconds.
    window_s : float
        Length of a time window of the evidence, in seconds.
    decision_interval_s : float
        Time between two decisions of the leader, in seconds.
    false_alarm : float
        Probability that a good version is taken back during a move.
    """

    __slots__ = (
        'report_interval_s',
        'window_s',
        'decision_interval_s',
        'false_alarm',
    )
    report_interval_s: float
    window_s: float
    decision_interval_s: float
    false_alarm: float


# Probabilities of a false alarm during a move. With the higher one, a bad
# version is detected earlier.
_LOW_FALSE_ALARM: Final = 1e-4
_HIGH_FALSE_ALARM: Final = 1e-3

_CONTROL_BYTES_TUNING: Final = Tuning(
    report_interval_s=10,
    window_s=2,
    decision_interval_s=2,
    false_alarm=_LOW_FALSE_ALARM,
)
_CONVERGENCE_TIME_TUNING: Final = Tuning(
    report_interval_s=1,
    window_s=1,
    decision_interval_s=1,
    false_alarm=_HIGH_FALSE_ALARM,
)


def tuning_of(policy: MovePolicy) -> Tuning:
    """Return the tuning for the ``weighing`` of a policy."""
    if policy.weighing == 'control_bytes':
        return _CONTROL_BYTES_TUNING
    return _CONVERGENCE_TIME_TUNING
