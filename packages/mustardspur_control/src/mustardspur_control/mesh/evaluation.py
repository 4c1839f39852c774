"""Evaluation of a new version by the outcomes of its calls."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

from mustardspur_core.record import Record

from mustardspur_control.mesh.evidence import RunTotals, Totals
from mustardspur_control.mesh.slowdown import slowdown_log_ratio

# Fewer failures than this can occur by chance at any version.
MIN_FAILED: Final = 4
# If the other versions have answered fewer calls of a route than this, the
# route itself may be at fault, so more failures are required.
MIN_OTHER_CALLS: Final = 5
MIN_FAILED_WITHOUT_OTHERS: Final = 15
# A version is faulty if its failure rate is above this and above
# FAILURE_RATIO times the failure rate of the other versions.
MIN_FAILURE_RATE: Final = 0.12
FAILURE_RATIO: Final = 2.5
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
_NONE_EXPECTED: Final[Mapping[str, float]] = MappingProxyType({})


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
    reference: Totals | None = None,
    expected_failures: Mapping[str, float] = _NONE_EXPECTED,
) -> TransferVerdict:
    """Compare a version with the other versions, route by route.

    Parameters
    ----------
    totals : dict of RunTotals
        Counts by version, route and node.
    version : str
        The new version.
    reference : dict of RunTotals, optional
        Counts that the distribution of the other versions' latencies is
        taken from, by default `totals`. A short window has too few.
    expected_failures : mapping of float, optional
        Failures of the version by route that the failure rates of the others
        at the same moments imply, see `ConcurrentFailures`.

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
        old = other_version_totals(totals, version, route)
        usual = old
        if reference is not None:
            usual = other_version_totals(reference, version, route)
        answered_calls += new.runs
        reason = (
            reason
            or _failure_reason(route, new, old, expected_failures.get(route, 0))
            or _mean_latency_reason(route, new, old)
            or _slow_calls_reason(route, totals, version, usual)
        )
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


def _failure_reason(
    route: str, new: RunTotals, old: RunTotals, expected: float
) -> str:
    rate = new.failed / max(new.runs, 1)
    old_rate = old.failed / max(old.runs, 1)
    concurrent_rate = expected / max(new.runs, 1)
    usual_rate = max(old_rate, concurrent_rate)
    limit = max(MIN_FAILURE_RATE, FAILURE_RATIO * usual_rate)
    needed = (
        MIN_FAILED if old.runs >= MIN_OTHER_CALLS else MIN_FAILED_WITHOUT_OTHERS
    )
    if new.failed >= needed and rate > limit:
        return (
            f'{route}: {new.failed} of {new.runs} calls failed, '
            f'failure rate of other versions {old_rate:.3f}, '
            f'at the same moments {concurrent_rate:.3f}'
        )
    return ''


def _mean_latency_reason(route: str, new: RunTotals, old: RunTotals) -> str:
    if min(new.timed, old.timed) < MIN_TIMED:
        return ''
    mean_ms = new.timed_ms / new.timed
    old_mean_ms = old.timed_ms / old.timed
    if mean_ms > max(
        SLOWDOWN_RATIO * old_mean_ms,
        old_mean_ms + MIN_SLOWDOWN_MS,
    ):
        return (
            f'{route}: mean latency {mean_ms:.0f} ms, '
            f'other versions {old_mean_ms:.0f} ms'
        )
    return ''


def _slow_calls_reason(
    route: str,
    totals: Totals,
    version: str,
    usual: RunTotals,
) -> str:
    log_ratio = slowdown_log_ratio(
        usual.latency_counts,
        [
            counts.latency_counts
            for key, counts in totals.items()
            if key.route == route and key.version == version
        ],
    )
    if log_ratio < SLOW_LOG_RATIO:
        return ''
    return f'{route}: part of the calls is slow, log ratio {log_ratio:.1f}'
