"""Test of run times by the means of targets.

Targets of one version differ in speed, so calls of one target are no
independent sample of its version. The test compares the mean logarithms of run
times over targets, whose variance has a part between targets and one within
them. Both are estimated from the targets of both versions.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from mustardspur_moves.histogram import BUCKETS_PER_OCTAVE

# Fewer runs give no mean of a target.
MIN_RUNS: Final = 5
# Targets of each version without which nothing is known between targets.
MIN_TARGETS: Final = 3
# Slowdown, in octaves, that a good version may have.
GOOD_OCTAVES: Final = math.log2(1.25)
# Least measured slowdown of a slow version, in octaves.
MIN_SLOW_OCTAVES: Final = math.log2(1.6)
# Standard errors above the slowdown of a good version from which on a version
# counts as slow.
MAX_ERRORS: Final = 3.5
# Least variance between targets, in octaves squared, as a few similar targets
# show too little of it.
MIN_BETWEEN: Final = 0.02

Histogram = Mapping[int, int]


class TargetMean(NamedTuple):
    """Mean run time of a target.

    Attributes
    ----------
    octaves : float
        Mean binary logarithm of the run time in milliseconds.
    runs : int
        Number of runs.
    squares : float
        Sum of the squared deviations of the runs, in octaves squared.
    """

    octaves: float
    runs: int
    squares: float


def target_means(histograms: Iterable[Histogram]) -> list[TargetMean]:
    """Return the means of the targets with enough runs, fastest first.

    Parameters
    ----------
    histograms : iterable of mapping of int
        Runs by latency bucket, for each target.
    """
    means = map(_mean, histograms)
    return sorted(each for each in means if each.runs >= MIN_RUNS)


def slowdown_errors(old: list[TargetMean], new: list[TargetMean]) -> float:
    """Return by how many standard errors a version is slower than a good one.

    The slowest target of the new version is left out: it may be slow for a
    reason of its own.

    Returns
    -------
    float
        0 for less than `MIN_SLOW_OCTAVES` and for too few targets.
    """
    if min(len(old), len(new)) < MIN_TARGETS:
        return 0
    new = new[:-1]
    slowdown = _mean_octaves(new) - _mean_octaves(old)
    if slowdown < MIN_SLOW_OCTAVES:
        return 0
    both = old + new
    within = _within(both)
    between = _between(old, new, within)
    variance = _variance(old, between, within) + _variance(new, between, within)
    return (slowdown - GOOD_OCTAVES) / math.sqrt(variance)


def _mean(histogram: Histogram) -> TargetMean:
    runs = sum(histogram.values())
    octaves = [
        (bucket / BUCKETS_PER_OCTAVE, count)
        for bucket, count in histogram.items()
    ]
    mean = sum(value * count for value, count in octaves) / max(runs, 1)
    squares = sum(count * (value - mean) ** 2 for value, count in octaves)
    return TargetMean(mean, runs, squares)


def _mean_octaves(means: list[TargetMean]) -> float:
    return sum(each.octaves for each in means) / len(means)


def _within(means: list[TargetMean]) -> float:
    """Return the variance of runs at one target."""
    freedom = sum(each.runs - 1 for each in means)
    return sum(each.squares for each in means) / freedom


def _between(
    old: list[TargetMean], new: list[TargetMean], within: float
) -> float:
    """Return the variance between targets of one version."""
    squares = sum(
        (each.octaves - _mean_octaves(means)) ** 2
        for means in (old, new)
        for each in means
    )
    both = old + new
    by_chance = within * sum(1 / each.runs for each in both) / len(both)
    return max(squares / (len(both) - 2) - by_chance, MIN_BETWEEN)


def _variance(means: list[TargetMean], between: float, within: float) -> float:
    """Return the variance of the mean over targets."""
    parts = (between + within / each.runs for each in means)
    return sum(parts) / len(means) ** 2
