"""Aggregated figures of many sessions."""

import math
from collections.abc import Callable, Iterable
from typing import Any

from mustardspur_core.record import Record
from mustardspur_core.state import MoveState

from benchmarks.moves.plan import Job
from benchmarks.moves.session import SessionOutcome


class SessionResult(Record):
    """A job and the outcome of its session."""

    __slots__ = ('job', 'outcome')
    job: Job
    outcome: SessionOutcome

    @property
    def is_bad(self) -> bool:
        """Whether the new version was bad."""
        return self.job.case.kind.bad

    @property
    def is_taken_back(self) -> bool:
        """Whether the move was taken back."""
        return self.outcome.state == MoveState.TAKEN_BACK

    @property
    def is_correct(self) -> bool:
        """Whether a bad version was taken back or a good one done in time."""
        if self.is_bad:
            return self.is_taken_back
        done = self.outcome.state == MoveState.DONE
        return done and self.outcome.in_time


def share(flags: Iterable[bool]) -> float:
    """Return the share of true values, 1 if there are none."""
    counted = list(flags)
    if not counted:
        return 1
    return round(sum(counted) / len(counted), 4)


def quantile(numbers: Iterable[float], fraction: float) -> float:
    """Return a quantile without interpolation, 0 if there are no values."""
    ordered = sorted(numbers)
    if not ordered:
        return 0
    index = math.ceil(fraction * len(ordered)) - 1
    return ordered[max(index, 0)]


def summary(sessions: list[SessionResult]) -> dict[str, Any]:
    """Return the figures that have target values."""
    good = [result for result in sessions if not result.is_bad]
    bad = [result for result in sessions if result.is_bad]
    by_kind = group_by(bad, lambda result: result.job.case.kind.name)
    correct_by_kind = {
        kind: share(result.is_correct for result in results)
        for kind, results in by_kind.items()
    }
    worst = min(correct_by_kind, key=correct_by_kind.__getitem__)
    return {
        'good_in_time': share(result.is_correct for result in good),
        'good_wrongly_taken_back': share(
            result.is_taken_back for result in good
        ),
        'bad_taken_back': share(result.is_correct for result in bad),
        'bad_taken_back_worst_kind': correct_by_kind[worst],
        'worst_kind': worst,
        **fault_impact(bad),
        'control_bytes_per_move': mean_bytes(sessions),
        'moves': len(sessions),
    }


def fault_impact(sessions: list[SessionResult]) -> dict[str, float]:
    """Return the share of harmed calls and the duration of the faults."""
    usual = sum(result.outcome.usual_calls for result in sessions)
    harmed = sum(result.outcome.harmed for result in sessions)
    durations_s = [
        result.outcome.fault_to_no_traffic_s
        for result in sessions
        if result.outcome.harmed
    ]
    return {
        'harmed_calls_share': round(harmed / max(usual, 1), 6),
        'fault_to_no_traffic_p50_s': quantile(durations_s, 0.5),
        'fault_to_no_traffic_p99_s': quantile(durations_s, 0.99),
    }


def mean_bytes(sessions: list[SessionResult]) -> int:
    """Return the mean number of control bytes per move."""
    total = sum(result.outcome.control_bytes for result in sessions)
    return round(total / max(len(sessions), 1))


def group_by(
    sessions: Iterable[SessionResult],
    key: Callable[[SessionResult], Any],
) -> dict[Any, list[SessionResult]]:
    """Group the sessions by a key, in the order of the plan."""
    groups: dict[Any, list[SessionResult]] = {}
    for result in sessions:
        groups.setdefault(key(result), []).append(result)
    return groups
