"""Mixture sequential probability ratio test on the events of two versions.

Given the events of a stratum, each event belongs to the new version with a
probability that depends on that version's share of the calls and on the ratio
of the two event rates. Calls without an event carry no weight, and the event
rate itself need not be known.
"""

import math
from typing import Final

from mustardspur_moves.strata import SLOW, Trial

# Ratios of the event rate of the new version to that of the old one that
# are tested as alternatives.
BAD_RATIOS: Final = (3.0, 8.0, 32.0)
# Largest ratios that a good version may have. Latencies of two builds differ
# slightly, and more if their targets are not equally loaded.
GOOD_RATIO: Final = 1.25
GOOD_SLOW_RATIO: Final = 1.6
GOOD_LOADED_RATIO: Final = 2.9
# Largest log likelihood ratio of one slot, in nats, so that a single burst of
# correlated failures does not decide.
MAX_SLOT_LOG_RATIO: Final = 8.0
# Keeps the statistic finite.
MAX_STATISTIC: Final = 1e15

LogRatios = list[float]


def zero_log_ratios() -> LogRatios:
    """Return log ratios of zero, one for each of `BAD_RATIOS`."""
    return [0 for _ in BAD_RATIOS]


def log_ratios(trial: Trial) -> LogRatios:
    """Return the log likelihood ratio of each bad ratio to the good one.

    Parameters
    ----------
    trial : Trial
        Events of one kind in one stratum.

    Returns
    -------
    list of float
        One value for each of `BAD_RATIOS`, all 0 if a version got no calls.
    """
    if trial.new_calls in {0, trial.calls}:
        return zero_log_ratios()
    share = trial.new_calls / trial.calls
    good = good_ratio(trial)
    good_total = 1 - share + good * share
    return [
        trial.new_events * math.log(bad / good)
        - trial.events * math.log((1 - share + bad * share) / good_total)
        for bad in BAD_RATIOS
    ]


def good_ratio(trial: Trial) -> float:
    """Return the largest ratio of event rates of a good version."""
    if trial.kind != SLOW:
        return GOOD_RATIO
    return GOOD_LOADED_RATIO if trial.new_is_loaded else GOOD_SLOW_RATIO


def add_ratios(total: LogRatios, ratios: LogRatios) -> None:
    """Add the log ratios of an independent trial to a sum, in place."""
    for index, ratio in enumerate(ratios):
        total[index] += ratio


def update_statistic(
    statistic: LogRatios,
    slot_ratios: LogRatios,
    start_weight: float,
) -> LogRatios:
    """Return the statistic after one more slot.

    Explanation
    ===========

    The statistic is a mixture over the slot in which the fault begins
    (Shiryaev-Roberts procedure), each slot with the weight `start_weight`.
    Good calls before a late fault therefore do not delay its detection. For a
    good version, the expectation is at most the sum of the weights.
    """
    return [
        min(
            (before + start_weight) * math.exp(min(ratio, MAX_SLOT_LOG_RATIO)),
            MAX_STATISTIC,
        )
        for before, ratio in zip(statistic, slot_ratios, strict=True)
    ]
