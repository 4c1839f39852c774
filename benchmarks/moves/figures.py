"""Figures over many sessions."""

import math
from collections.abc import Callable, Iterable
from typing import Any

from mustardspur_core.record import Record
from mustardspur_core.state import MoveState

from benchmarks.moves.plan import Job
from benchmarks.moves.session import Outcome


class Ended(Record):
    """A session and how it ended."""

    __slots__ = ('job', 'outcome')
    job: Job
    outcome: Outcome

    @property
    def is_bad(self) -> bool:
        """Whether the new version was bad."""
        return self.job.case.kind.bad

    @property
    def is_taken_back(self) -> bool:
        """Whether the move was taken back."""
        return self.outcome.state == MoveState.TAKEN_BACK

    @property
    def is_right(self) -> bool:
        """Whether the move ended as it should, and in time."""
        if self.is_bad:
            return self.is_taken_back
        done = self.outcome.state == MoveState.DONE
        return done and self.outcome.in_time


def share(rows: Iterable[bool]) -> float:
    """Return the share of true rows, 1 without any row."""
    counted = list(rows)
    if not counted:
        return 1
    return round(sum(counted) / len(counted), 4)


def quantile(rows: Iterable[float], part: float) -> float:
    """Return a quantile, the next higher row; 0 without any row."""
    ordered = sorted(rows)
    if not ordered:
        return 0
    place = math.ceil(part * len(ordered)) - 1
    return ordered[max(place, 0)]


def summary(sessions: list[Ended]) -> dict[str, Any]:
    """Return the figures that the targets are about."""
    good = [ended for ended in sessions if not ended.is_bad]
    bad = [ended for ended in sessions if ended.is_bad]
    by_kind = grouped(bad, lambda ended: ended.job.case.kind.name)
    right_by_kind = {
        kind: share(ended.is_right for ended in rows)
        for kind, rows in by_kind.items()
    }
    worst = min(right_by_kind, key=right_by_kind.__getitem__)
    return {
        'good_in_time': share(ended.is_right for ended in good),
        'good_wrongly_taken_back': share(ended.is_taken_back for ended in good),
        'bad_taken_back': share(ended.is_right for ended in bad),
        'bad_taken_back_worst_kind': right_by_kind[worst],
        'worst_kind': worst,
        **spread(bad),
        'control_bytes_per_move': mean_bytes(sessions),
        'moves': len(sessions),
    }


def spread(sessions: list[Ended]) -> dict[str, float]:
    """Return how far a fault spread and how long it lasted."""
    usual = sum(ended.outcome.usual_calls for ended in sessions)
    harmed = sum(ended.outcome.harmed for ended in sessions)
    lasted_s = [
        ended.outcome.fault_to_no_traffic_s
        for ended in sessions
        if ended.outcome.harmed
    ]
    return {
        'harmed_calls_share': round(harmed / max(usual, 1), 6),
        'fault_to_no_traffic_p50_s': quantile(lasted_s, 0.5),
        'fault_to_no_traffic_p99_s': quantile(lasted_s, 0.99),
    }


def mean_bytes(sessions: list[Ended]) -> int:
    """Return the mean control bytes of a move."""
    total = sum(ended.outcome.control_bytes for ended in sessions)
    return round(total / max(len(sessions), 1))


def grouped(
    sessions: Iterable[Ended],
    key: Callable[[Ended], Any],
) -> dict[Any, list[Ended]]:
    """Return the sessions by a key, in the order of the plan."""
    groups: dict[Any, list[Ended]] = {}
    for ended in sessions:
        groups.setdefault(key(ended), []).append(ended)
    return groups
