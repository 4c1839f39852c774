"""Detection of short periods in which a target is slow."""

import asyncio
import math
import statistics
from typing import Final

from mustardspur_core.units import MS_PER_S

# A run is late at this multiple of the usual time of its route. A target that
# is slowed by a factor of 2.5 exceeds it with most of the runs that were open.
LATE_FACTOR: Final = 1.75
# Runs up to this multiple are evidence against a slow period; runs between
# the two multiples are common at a target that is merely full.
ON_TIME_FACTOR: Final = 1.3
# Fraction of runs that are late while the target is slow.
SLOW_LATE_FRACTION: Final = 0.9
# Bounds of the fraction of runs that are late by chance. Routes whose runs
# differ more in length need more late runs for the same conclusion.
MIN_LATE_FRACTION: Final = 0.03
MAX_LATE_FRACTION: Final = 0.5
LATE_FRACTION_WEIGHT: Final = 0.002
# Evidence, as the logarithm of a likelihood ratio, from which on a target
# counts as slow, and up to which it is counted. With the least fraction of
# late runs, two late runs without one on time between them suffice. This also
# happens by chance, but the next two runs on time end it.
SLOW_EVIDENCE: Final = 6.0
MAX_EVIDENCE: Final = 6.5
# Evidence at which a slow period ends; two runs on time after it.
END_EVIDENCE: Final = 3.0
# The ages of fewer open runs don't tell by how much the target is slow, since
# one of them may be long by chance.
MIN_OPEN_RUNS: Final = 2
# A slow period without evidence for this time has ended: a target that gets
# no calls, or whose few usable slots are held by long runs, shows nothing.
EVIDENCE_MAX_AGE_S: Final = 0.6


class _OpenRun:
    """A run that has not ended."""

    __slots__ = ('is_late', 'started_s', 'usual_ms')

    def __init__(self, usual_ms: float) -> None:
        self.started_s = _now()
        self.usual_ms = usual_ms
        self.is_late = False

    def age_ratio(self) -> float:
        """Return the age relative to the usual run time of the route."""
        return (_now() - self.started_s) * MS_PER_S / self.usual_ms


class SlowPeriods:
    """Detects slow periods by a sequential test over late runs.

    Explanation
    ===========

    Each run that exceeds `LATE_FACTOR`, while it is still open, raises the
    evidence for a slow period, and each run that ends on time lowers it, by
    the logarithm of the ratio of their probabilities (cumulative sum test).
    A few in a hundred runs are long by chance and are followed by runs on
    time; in a slow period most of the open runs become late one after the
    other.
    """

    __slots__ = (
        '_evidence',
        '_evidence_s',
        '_is_slow',
        '_late_fraction',
        '_open_runs',
    )

    def __init__(self) -> None:
        """Initialise without runs."""
        self._evidence: float = 0
        self._evidence_s: float = 0
        self._is_slow = False
        self._late_fraction = MIN_LATE_FRACTION
        self._open_runs: dict[int, _OpenRun] = {}

    def start(self, run_id: int, usual_ms: float) -> None:
        """Record the start of a run with the usual run time of its route."""
        self._open_runs[run_id] = _OpenRun(usual_ms)

    def end(self, run_id: int) -> None:
        """Record the end of a run."""
        self._update()
        run = self._open_runs.pop(run_id)
        if not run.is_late and run.age_ratio() <= ON_TIME_FACTOR:
            self._add(late=False)

    def factor(self) -> float:
        """Return by how much the target is slower than usual, at least 1."""
        self._update()
        if not self._is_slow:
            return 1
        ratios = [run.age_ratio() for run in self._open_runs.values()]
        if len(ratios) < MIN_OPEN_RUNS:
            return LATE_FACTOR
        return max(LATE_FACTOR, statistics.median_low(ratios))

    def _update(self) -> None:
        """Record the open runs that have become late."""
        for run in self._open_runs.values():
            if not run.is_late and run.age_ratio() > LATE_FACTOR:
                run.is_late = True
                self._add(late=True)
        if self._is_slow and _now() - self._evidence_s > EVIDENCE_MAX_AGE_S:
            self._is_slow = False
            self._evidence = 0

    def _add(self, *, late: bool) -> None:
        fraction = self._late_fraction
        ratio = (1 - SLOW_LATE_FRACTION) / (1 - fraction)
        if late:
            ratio = SLOW_LATE_FRACTION / fraction
        evidence = self._evidence + math.log(ratio)
        self._evidence = min(max(evidence, 0), MAX_EVIDENCE)
        self._evidence_s = _now()
        if self._is_slow:
            self._is_slow = self._evidence > END_EVIDENCE
        else:
            self._is_slow = self._evidence >= SLOW_EVIDENCE
            fraction += LATE_FRACTION_WEIGHT * (late - fraction)
            self._late_fraction = min(
                max(fraction, MIN_LATE_FRACTION), MAX_LATE_FRACTION
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
