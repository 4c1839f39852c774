"""Comparison of a new version with the others at the same moments.

The share of the new version rises during its transfer, so its runs are later
than those of the other versions. What all versions suffer at some time is a
larger part of the new version's runs, and sums over the whole transfer take it
for a fault of that version. Runs are therefore compared within strata: time
windows of a route in which the share stays. The other versions' runs of each
stratum are weighted by the new version's runs in it (direct standardisation).
"""

from collections.abc import Iterable, Mapping
from typing import Final

from mustardspur_moves.sequential import (
    add_ratios,
    log_ratios,
    zero_log_ratios,
)
from mustardspur_moves.strata import FAILURES, Trial

from mustardspur_control.mesh.evidence import RunTotals, Totals

# Runs of other versions in a stratum, without which it shows nothing. It stays
# open for longer on a route with few calls.
MIN_OTHER_CALLS: Final = 5


class ExpectedRuns:
    """Runs that the new version would have had like the other versions.

    Attributes
    ----------
    runs, failed, timed, timed_ms : float
        See `RunTotals`.
    weighted_counts : dict of float
        Weighted latencies by bucket.
    squared_weights : float
        Sum of the squared weight of each latency.
    """

    __slots__ = (
        'weighted_counts',
        'squared_weights',
        'failed',
        'runs',
        'timed',
        'timed_ms',
    )

    def __init__(self) -> None:
        """Initialise without runs."""
        self.runs: float = 0
        self.failed: float = 0
        self.timed: float = 0
        self.timed_ms: float = 0
        self.weighted_counts: dict[int, float] = {}
        self.squared_weights: float = 0

    @property
    def latency_counts(self) -> dict[int, float]:
        """Distribution of the latencies, by bucket.

        The sum of the counts is the effective sample size (Kish): that of
        equally weighted latencies with the same error of estimation.
        """
        total = sum(self.weighted_counts.values())
        scale = total / self.squared_weights if total else 0
        return {
            bucket: scale * count
            for bucket, count in self.weighted_counts.items()
        }

    def add_stratum(
        self, new: RunTotals, others: RunTotals, timed_others: RunTotals
    ) -> None:
        """Add the runs of other versions, as many as the new version had.

        Parameters
        ----------
        new, others : RunTotals
            Runs of the stratum.
        timed_others : RunTotals
            Runs of other versions that latencies are compared with.
        """
        weight = _ratio(new.runs, others.runs)
        self.runs += weight * others.runs
        self.failed += weight * others.failed
        # Runs at cold targets have no time.
        weight = _ratio(new.timed, timed_others.timed)
        self.timed += weight * timed_others.timed
        self.timed_ms += weight * timed_others.timed_ms
        latencies = sum(timed_others.latency_counts.values())
        weight = _ratio(sum(new.latency_counts.values()), latencies)
        self.squared_weights += weight * weight * latencies
        self._add_latencies(timed_others.latency_counts, weight)

    def add(self, other: 'ExpectedRuns') -> None:
        """Add the runs of other strata, in place."""
        self.runs += other.runs
        self.failed += other.failed
        self.timed += other.timed
        self.timed_ms += other.timed_ms
        self.squared_weights += other.squared_weights
        self._add_latencies(other.weighted_counts, 1)

    def _add_latencies(
        self, counts: Mapping[int, float], weight: float
    ) -> None:
        for bucket, count in counts.items():
            known = self.weighted_counts.get(bucket, 0)
            self.weighted_counts[bucket] = known + weight * count


class Comparison:
    """Sums over strata of the runs of a route.

    Attributes
    ----------
    new_by_node : dict of RunTotals
        Runs of the new version by node.
    others : RunTotals
        Runs of the other versions.
    expected : ExpectedRuns
        Runs of the other versions in the proportions of the new version's.
    failure_log_ratios : list of float
        Log likelihood ratios of higher failure rates of the new version, see
        `mustardspur_moves.sequential.log_ratios`.
    """

    __slots__ = ('expected', 'failure_log_ratios', 'new_by_node', 'others')

    def __init__(self) -> None:
        """Initialise without runs."""
        self.new_by_node: dict[str, RunTotals] = {}
        self.others = RunTotals()
        self.expected = ExpectedRuns()
        self.failure_log_ratios = zero_log_ratios()

    @property
    def new(self) -> RunTotals:
        """Runs of the new version at all nodes."""
        return _sum(self.new_by_node.values())

    def add(self, other: 'Comparison') -> None:
        """Add the sums over other strata, in place."""
        for node, counts in other.new_by_node.items():
            self.new_by_node.setdefault(node, RunTotals()).add(counts)
        self.others.add(other.others)
        self.expected.add(other.expected)
        add_ratios(self.failure_log_ratios, other.failure_log_ratios)


def compare(
    counts: Totals, version: str, earlier: RunTotals | None = None
) -> Comparison | None:
    """Return the comparison of a version with the others in one stratum.

    Parameters
    ----------
    counts : dict of RunTotals
        Runs of one route.
    version : str
        The new version.
    earlier : RunTotals, optional
        Earlier runs of other versions, whose latencies count as well.

    Returns
    -------
    Comparison or None
        None if the other versions had fewer runs than `MIN_OTHER_CALLS`.
    """
    valid = {key: runs for key, runs in counts.items() if _is_valid(runs)}
    others = _sum(runs for key, runs in valid.items() if key.version != version)
    if others.runs < MIN_OTHER_CALLS:
        return None
    comparison = Comparison()
    comparison.new_by_node = {
        key.node: runs for key, runs in valid.items() if key.version == version
    }
    comparison.others = others
    new = comparison.new
    timed_others = _sum((others, earlier or RunTotals()))
    comparison.expected.add_stratum(new, others, timed_others)
    comparison.failure_log_ratios = log_ratios(_failure_trial(new, others))
    return comparison


def _failure_trial(new: RunTotals, others: RunTotals) -> Trial:
    return Trial(
        kind=FAILURES,
        scopes=(),
        new_events=new.failed,
        events=new.failed + others.failed,
        new_calls=new.runs,
        calls=new.runs + others.runs,
        new_is_loaded=False,
    )


def _is_valid(counts: RunTotals) -> bool:
    """Return whether counts are possible; a damaged frame may hold others."""
    return 0 <= counts.failed <= counts.runs and counts.timed >= 0


def _sum(parts: Iterable[RunTotals]) -> RunTotals:
    total = RunTotals()
    for counts in parts:
        total.add(counts)
    return total


def _ratio(new: float, others: float) -> float:
    return new / others if others else 0
