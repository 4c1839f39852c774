"""Bounds on the differences of clock offsets, and offsets within them."""

from collections.abc import Iterable
from typing import Final

from mustardspur_core.record import Record

_HALF: Final = 0.5


class OffsetEstimate(Record):
    """Estimated offset of a run, and its largest error if bounded."""

    __slots__ = ('offset_s', 'error_s')
    offset_s: float
    error_s: float | None


class Bounds:
    """Lower bounds on the differences between offsets of runs, in seconds.

    Parameters
    ----------
    runs : iterable of str
        All runs.
    """

    __slots__ = ('_min_differences',)

    def __init__(self, runs: Iterable[str]) -> None:
        """Initialise without bounds."""
        self._min_differences: dict[str, dict[str, float]] = {
            run: {} for run in runs
        }

    def add(self, run: str, later: str, least_s: float) -> None:
        """Require offset(later) - offset(run) to be at least `least_s`."""
        known = self._min_differences[run].get(later, least_s)
        self._min_differences[run][later] = max(known, least_s)

    def groups(self) -> list[list[str]]:
        """Return the groups of runs that are connected by bounds."""
        neighbours: dict[str, set[str]] = {
            run: set() for run in self._min_differences
        }
        for run, others in self._min_differences.items():
            for other in others:
                neighbours[run].add(other)
                neighbours[other].add(run)
        groups: list[list[str]] = []
        remaining = dict.fromkeys(self._min_differences)
        while remaining:
            group = _connected_to(next(iter(remaining)), neighbours)
            groups.append([member for member in remaining if member in group])
            for member in group:
                remaining.pop(member)
        return groups

    def estimate(self, group: list[str]) -> dict[str, OffsetEstimate]:
        """Return offsets that satisfy the bounds, relative to one run."""
        reference = max(group, key=self._bound_count)
        estimates = self._estimate_from_chains(group, reference)
        while len(estimates) < len(group):
            estimates |= self._estimate_from_estimates(group, estimates)
        raised = _raise_to_bounds(
            {run: estimates[run].offset_s for run in group},
            self._min_differences,
        )
        return {
            run: OffsetEstimate(
                offset_s=raised[run], error_s=estimates[run].error_s
            )
            for run in group
        }

    def _bound_count(self, run: str) -> int:
        from_others = sum(
            run in others for others in self._min_differences.values()
        )
        return from_others + len(self._min_differences[run])

    def _estimate_from_chains(
        self, group: list[str], reference: str
    ) -> dict[str, OffsetEstimate]:
        """Estimate the runs that chains of bounds connect to the reference."""
        start = {reference: float(0)}
        lowest = _raise_to_bounds(start, self._min_differences)
        reversed_bounds = _reverse(self._min_differences)
        highest = _raise_to_bounds(start, reversed_bounds)
        estimates: dict[str, OffsetEstimate] = {}
        for run in group:
            low = lowest.get(run)
            high = highest.get(run)
            estimate = _middle(low, None if high is None else -high)
            if estimate is not None:
                estimates[run] = estimate
        return estimates

    def _estimate_from_estimates(
        self,
        group: list[str],
        estimates: dict[str, OffsetEstimate],
    ) -> dict[str, OffsetEstimate]:
        """Estimate one more run from its bounds to estimated runs."""
        for run in group:
            if run in estimates:
                continue
            lows = [
                estimates[other].offset_s + self._min_differences[other][run]
                for other in estimates
                if run in self._min_differences[other]
            ]
            highs = [
                estimates[other].offset_s - least_s
                for other, least_s in self._min_differences[run].items()
                if other in estimates
            ]
            estimate = _middle(
                max(lows, default=None), min(highs, default=None)
            )
            if estimate is not None:
                return {
                    run: OffsetEstimate(
                        offset_s=estimate.offset_s, error_s=None
                    )
                }
        raise AssertionError('a group of runs is not connected')


def _middle(low: float | None, high: float | None) -> OffsetEstimate | None:
    if low is not None and high is not None:
        error_s = abs(high - low) * _HALF
        return OffsetEstimate(offset_s=(low + high) * _HALF, error_s=error_s)
    single_bound = high if low is None else low
    return (
        None
        if single_bound is None
        else OffsetEstimate(offset_s=single_bound, error_s=None)
    )


def _raise_to_bounds(
    offsets: dict[str, float],
    min_differences: dict[str, dict[str, float]],
) -> dict[str, float]:
    """Return the offsets raised until they satisfy all bounds.

    With contradictory bounds, as caused by drifting clocks, the iteration ends
    after as many rounds as there are runs.
    """
    raised = dict(offsets)
    changed = set(raised)
    rounds_left = len(min_differences)
    while changed and rounds_left:
        changed = _raise_once(raised, changed, min_differences)
        rounds_left -= 1
    return raised


def _raise_once(
    raised: dict[str, float],
    changed: set[str],
    min_differences: dict[str, dict[str, float]],
) -> set[str]:
    changed_now: set[str] = set()
    for run in sorted(changed):
        for other, least_s in min_differences[run].items():
            lowest = raised[run] + least_s
            if other not in raised or raised[other] < lowest:
                raised[other] = lowest
                changed_now.add(other)
    return changed_now


def _reverse(
    min_differences: dict[str, dict[str, float]],
) -> dict[str, dict[str, float]]:
    reversed_bounds: dict[str, dict[str, float]] = {
        run: {} for run in min_differences
    }
    for run, others in min_differences.items():
        for other, least_s in others.items():
            reversed_bounds[other][run] = least_s
    return reversed_bounds


def _connected_to(start: str, neighbours: dict[str, set[str]]) -> set[str]:
    reached = {start}
    frontier = [start]
    while frontier:
        for other in neighbours[frontier.pop()] - reached:
            reached.add(other)
            frontier.append(other)
    return reached
