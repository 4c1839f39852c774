"""Likelihood ratio test for a version that is slow for part of its calls.

The run times of a route at a healthy target have the distribution of the other
versions, multiplied by the speed of that target. At a target of a slow version,
a part of the runs takes several times as long. Each target has its own speed in
both hypotheses, so that slow targets are not taken for a slow version. The
statistic is a generalised likelihood ratio: speed and alternative are those of
the highest likelihood.
"""

import math
from collections.abc import Iterable, Mapping
from itertools import product
from typing import Final

from mustardspur_moves.histogram import count_from, top_share_bucket

# Runs of other versions without which their distribution is unknown.
MIN_REFERENCE_RUNS: Final = 60
# Differences in speed of healthy targets, in buckets of a quarter octave: up
# to a factor of 2.8 in both directions.
SPEED_SHIFTS: Final = range(-6, 7)
# Fractions of the runs that a slow version slows down.
SLOW_FRACTIONS: Final = (0.25, 0.6, 0.95)
# Slowdown of these runs in buckets of a quarter octave: factors of 4 and 8.
SLOW_SHIFTS: Final = (8, 12)
# Probability of latencies that no run of another version had, over all
# buckets of such latencies.
UNSEEN_PROBABILITY: Final = 0.02
_UNSEEN_BUCKETS: Final = 48
# Only if this part of the runs takes more than twice as long as all but a tenth
# of the other versions' runs, the test is computed: it takes some milliseconds.
MIN_SLOW_PART: Final = 0.08
_USUAL_PART: Final = 0.1
_TWICE_BUCKETS: Final = 4

Histogram = Mapping[int, int]
# Fraction of the runs that are slow, and their slowdown in buckets.
_Alternative = tuple[float, int]
_HEALTHY: Final = (0, 0)
_ALTERNATIVES: Final = tuple(product(SLOW_FRACTIONS, SLOW_SHIFTS))


class LatencyModel:
    """Distributions of run times under all hypotheses.

    Parameters
    ----------
    reference : mapping of int
        Runs of other versions by latency bucket, at least
        `MIN_REFERENCE_RUNS`.
    """

    __slots__ = ('_logs_by_alternative', '_probabilities')

    def __init__(self, reference: Histogram) -> None:
        """Initialise the model without a logarithm computed."""
        runs = sum(reference.values())
        self._probabilities = {
            bucket: count / runs for bucket, count in reference.items()
        }
        self._logs_by_alternative: dict[_Alternative, dict[int, float]] = {}

    def log_ratios(self, latencies: Histogram) -> list[float]:
        """Return the log likelihood ratio of each alternative at a target."""
        healthy = self._max_log(latencies, _HEALTHY)
        return [
            self._max_log(latencies, alternative) - healthy
            for alternative in _ALTERNATIVES
        ]

    def _max_log(
        self, latencies: Histogram, alternative: _Alternative
    ) -> float:
        """Return the log likelihood of latencies at the best speed."""
        logs = self._logs_by_alternative.setdefault(alternative, {})
        return max(
            sum(
                count * self._log(logs, bucket - shift, alternative)
                for bucket, count in latencies.items()
            )
            for shift in SPEED_SHIFTS
        )

    def _log(
        self,
        logs: dict[int, float],
        bucket: int,
        alternative: _Alternative,
    ) -> float:
        known = logs.get(bucket)
        if known is None:
            fraction, shift = alternative
            known = math.log(
                (1 - fraction) * self._probability(bucket)
                + fraction * self._probability(bucket - shift)
            )
            logs[bucket] = known
        return known

    def _probability(self, bucket: int) -> float:
        seen = self._probabilities.get(bucket, 0)
        unseen = UNSEEN_PROBABILITY / _UNSEEN_BUCKETS
        return (1 - UNSEEN_PROBABILITY) * seen + unseen


def slowdown_log_ratio(
    reference: Histogram,
    by_target: Iterable[Histogram],
) -> float:
    """Return the log likelihood ratio of a slow version to a healthy one.

    Parameters
    ----------
    reference : mapping of int
        Runs of the other versions by latency bucket.
    by_target : iterable of mapping of int
        Runs of the new version by latency bucket, for each target.

    Returns
    -------
    float
        Ratio in nats of the most likely slowdown, without the target that
        speaks most for it where there are several: one target may have
        become slow for a reason of its own. 0 if there are too few runs.
    """
    reference_runs = sum(reference.values())
    measured = [latencies for latencies in by_target if latencies]
    if reference_runs < MIN_REFERENCE_RUNS or not measured:
        return 0
    runs = sum(sum(latencies.values()) for latencies in measured)
    slow_from = top_share_bucket(reference, _USUAL_PART) + _TWICE_BUCKETS
    slow = sum(count_from(latencies, slow_from) for latencies in measured)
    if slow < MIN_SLOW_PART * runs:
        return 0
    model = LatencyModel(reference)
    by_alternative = zip(*map(model.log_ratios, measured), strict=True)
    # The distribution is an estimate, whose error counts once for each run
    # that is compared with it.
    weight = min(1, reference_runs / runs)
    return weight * max(map(_without_largest, by_alternative))


def _without_largest(ratios: tuple[float, ...]) -> float:
    total = sum(ratios)
    return total - max(*ratios, 0) if len(ratios) > 1 else total
