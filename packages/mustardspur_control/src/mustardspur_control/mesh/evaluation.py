"""Evaluation of a new version by the outcomes of its calls."""

from collections.abc import Iterable, Mapping
from typing import Final

from mustardspur_core.record import Record

from mustardspur_control.mesh.comparison import Comparison, compare
from mustardspur_control.mesh.evidence import RunTotals, Totals
from mustardspur_control.mesh.slowdown import slowdown_log_ratio

# Fewer failures than this can occur by chance at any version.
MIN_FAILED: Final = 4
# If the other versions have answered too few calls of a route to compare with,
# the route itself may be at fault, so more failures are required.
MIN_FAILED_WITHOUT_OTHERS: Final = 15
# A version is faulty if its failure rate is above this and above
# FAILURE_RATIO times the failure rate of the other versions.
MIN_FAILURE_RATE: Final = 0.12
FAILURE_RATIO: Final = 2.5
# Log likelihood ratio, in nats, of a higher failure rate than that of the other
# versions at the same moments: a few failures more can occur by chance.
FAILURE_LOG_RATIO: Final = 4.0
# Latencies are skewed, so the mean of fewer timed calls is unreliable.
MIN_TIMED: Final = 15
# Targets of one version differ in latency by a factor of up to three; a slow
# version differs by more than that.
SLOWDOWN_RATIO: Final = 2.8
# Smaller differences are noise on a loaded machine.
MIN_SLOWDOWN_MS: Final = 20.0
# Log likelihood ratio, in nats, from which on a part of the calls counts
# as slow: a likelihood ratio of about 55.
SLOW_LOG_RATIO: Final = 4.0


class TransferVerdict(Record):
    """Result of the evaluation of a version.

    Parameters
    ----------
    is_faulty : bool
        Whether the version must be rolled back.
    reason : str
        Route and figures of the fault for the log, empty without a fault.
    answered_calls : int
        Calls that the new version has answered.
    """

    __slots__ = ('is_faulty', 'reason', 'answered_calls')
    is_faulty: bool
    reason: str
    answered_calls: int


def evaluate(
    totals: Totals,
    version: str,
    comparisons: Mapping[str, Comparison] | None = None,
) -> TransferVerdict:
    """Compare a version with the other versions, route by route.

    Parameters
    ----------
    totals : dict of RunTotals
        Counts by version, route and node.
    version : str
        The new version.
    comparisons : mapping of Comparison, optional
        Comparisons by route, by default one stratum of all counts. A route
        without a comparison is evaluated by its failures only.

    Returns
    -------
    TransferVerdict
        The verdict; its reason is the first fault by route name.
    """
    routes = sorted({key.route for key in totals})
    answered_calls = 0
    reason = ''
    for route in routes:
        new = version_totals(totals, version, route)
        answered_calls += new.runs
        if comparisons is None:
            comparison = compare(_route_counts(totals, route), version)
        else:
            comparison = comparisons.get(route)
        if comparison is not None:
            reason = reason or _compared_reason(route, comparison)
            continue
        old = other_version_totals(totals, version, route)
        reason = reason or _uncompared_reason(route, new, old)
    return TransferVerdict(
        is_faulty=bool(reason),
        reason=reason,
        answered_calls=answered_calls,
    )


def version_totals(totals: Totals, version: str, route: str) -> RunTotals:
    """Return the counts of a route at a version over all nodes."""
    return _sum(
        counts
        for key, counts in totals.items()
        if key.route == route and key.version == version
    )


def other_version_totals(totals: Totals, version: str, route: str) -> RunTotals:
    """Return the counts of a route over all other versions and all nodes."""
    return _sum(
        counts
        for key, counts in totals.items()
        if key.route == route and key.version != version
    )


def _sum(parts: Iterable[RunTotals]) -> RunTotals:
    total = RunTotals()
    for counts in parts:
        total.add(counts)
    return total


def _route_counts(totals: Totals, route: str) -> Totals:
    return {key: counts for key, counts in totals.items() if key.route == route}


def _uncompared_reason(route: str, new: RunTotals, old: RunTotals) -> str:
    if new.failed < MIN_FAILED_WITHOUT_OTHERS:
        return ''
    return _failure_reason(route, new, old.failed / max(old.runs, 1))


def _compared_reason(route: str, comparison: Comparison) -> str:
    new = comparison.new
    expected = comparison.expected
    reason = ''
    if (
        new.failed >= MIN_FAILED
        and max(comparison.failure_log_ratios) >= FAILURE_LOG_RATIO
    ):
        old_rate = expected.failed / max(expected.runs, 1)
        reason = _failure_reason(route, new, old_rate)
    return (
        reason
        or _mean_latency_reason(route, new, comparison)
        or _slow_calls_reason(route, comparison)
    )


def _failure_reason(route: str, new: RunTotals, old_rate: float) -> str:
    rate = new.failed / max(new.runs, 1)
    if rate > max(MIN_FAILURE_RATE, FAILURE_RATIO * old_rate):
        return (
            f'{route}: {new.failed} of {new.runs} calls failed, '
            f'failure rate of other versions {old_rate:.3f}'
        )
    return ''


def _mean_latency_reason(
    route: str, new: RunTotals, comparison: Comparison
) -> str:
    if min(new.timed, comparison.others.timed) < MIN_TIMED:
        return ''
    expected = comparison.expected
    mean_ms = new.timed_ms / new.timed
    old_mean_ms = expected.timed_ms / max(expected.timed, 1)
    if mean_ms > max(
        SLOWDOWN_RATIO * old_mean_ms,
        old_mean_ms + MIN_SLOWDOWN_MS,
    ):
        return (
            f'{route}: mean latency {mean_ms:.0f} ms, '
            f'other versions {old_mean_ms:.0f} ms'
        )
    return ''


def _slow_calls_reason(route: str, comparison: Comparison) -> str:
    log_ratio = slowdown_log_ratio(
        comparison.expected.latency_counts,
        [counts.latency_counts for counts in comparison.new_by_node.values()],
    )
    if log_ratio < SLOW_LOG_RATIO:
        return ''
    return f'{route}: part of the calls is slow, log ratio {log_ratio:.1f}'
