"""Mixture sequential probability ratio test on the events of two versions.

Given the events of a stratum, each belongs to the new version with a
probability that follows from its share of the calls and from the ratio of
the two event rates. Calls that neither version handles badly carry no
weight, and the rate itself need not be known.
"""

import math
from typing import Final

from mustardspur_moves.strata import SLOW, Trial

# Ratios of the event rates that a bad version is tested for.
BAD_RATIOS: Final = (3.0, 8.0, 32.0)
# Ratios that a good version may show. Latencies of two builds differ a
# little, and more so when their targets are not equally busy.
GOOD_RATIO: Final = 1.25
GOOD_SLOW_RATIO: Final = 1.6
GOOD_LOADED_RATIO: Final = 2.9
# Largest weight of one slot, in natural log units. One burst of correlated
# failures alone does not decide.
SLOT_CAP: Final = 8.0
STATISTIC_CAP: Final = 1e15

LogRatios = list[float]


def no_ratios() -> LogRatios:
    """Return the log ratios of no trial at all."""
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
        One value for each of `BAD_RATIOS`; 0 where one version got no call.
    """
    if trial.new_calls in {0, trial.calls}:
        return no_ratios()
    share = trial.new_calls / trial.calls
    good = good_ratio(trial)
    good_total = 1 - share + good * share
    return [
        trial.new_events * math.log(bad / good)
        - trial.events * math.log((1 - share + bad * share) / good_total)
        for bad in BAD_RATIOS
    ]


def good_ratio(trial: Trial) -> float:
    """Return the ratio of event rates that a good version may show."""
    if trial.kind != SLOW:
        return GOOD_RATIO
    return GOOD_LOADED_RATIO if trial.new_is_loaded else GOOD_SLOW_RATIO


def add_ratios(total: LogRatios, ratios: LogRatios) -> None:
    """Add the log ratios of an independent trial to a sum, in place."""
    for place, ratio in enumerate(ratios):
        total[place] += ratio


def advanced(
    statistic: LogRatios,
    slot_ratios: LogRatios,
    start_weight: float,
) -> LogRatios:
    """Carry the statistic over a slot.

    Explanation
    ===========

    The statistic is a mixture over the slot at which the fault begins
    (Shiryaev and Roberts), each with weight `start_weight`, so good calls
    before a late fault do not delay its detection. Under a good version its
    expectation stays at most the sum of the weights.
    """
    return [
        min(
            (before + start_weight) * math.exp(min(ratio, SLOT_CAP)),
            STATISTIC_CAP,
        )
        for before, ratio in zip(statistic, slot_ratios, strict=True)
    ]
