"""Bounds on the differences of offsets, and offsets that keep them."""

from collections.abc import Iterable
from typing import Final

from mustardspur_core.record import Record

_HALF: Final = 0.5


class Placed(Record):
    """Offset of a run, and its largest error if that is bounded."""

    __slots__ = ('offset_s', 'error_s')
    offset_s: float
    error_s: float | None


class Bounds:
    """Least differences between the offsets of runs, in seconds.

    Parameters
    ----------
    runs : iterable of str
        All runs.
    """

    __slots__ = ('_least',)

    def __init__(self, runs: Iterable[str]) -> None:
        """Start without bounds."""
        self._least: dict[str, dict[str, float]] = {run: {} for run in runs}

    def add(self, run: str, later: str, least_s: float) -> None:
        """Require offset(later) - offset(run) to be at least this."""
        known = self._least[run].get(later, least_s)
        self._least[run][later] = max(known, least_s)

    def groups(self) -> list[list[str]]:
        """Return the runs that bounds connect, each group in order."""
        neighbours: dict[str, set[str]] = {run: set() for run in self._least}
        for run, others in self._least.items():
            for other in others:
                neighbours[run].add(other)
                neighbours[other].add(run)
        groups: list[list[str]] = []
        left = dict.fromkeys(self._least)
        while left:
            group = _reach(next(iter(left)), neighbours)
            groups.append([member for member in left if member in group])
            for member in group:
                left.pop(member)
        return groups

    def place(self, group: list[str]) -> dict[str, Placed]:
        """Return offsets that keep the bounds, relative to one run."""
        reference = max(group, key=self._bound_count)
        placed = self._between(group, reference)
        while len(placed) < len(group):
            placed |= self._beside(group, placed)
        raised = _raise_offsets(
            {run: placed[run].offset_s for run in group},
            self._least,
        )
        return {
            run: Placed(offset_s=raised[run], error_s=placed[run].error_s)
            for run in group
        }

    def _bound_count(self, run: str) -> int:
        from_others = sum(run in others for others in self._least.values())
        return from_others + len(self._least[run])

    def _between(self, group: list[str], reference: str) -> dict[str, Placed]:
        """Place the runs that chains of bounds tie to the reference."""
        start = {reference: float(0)}
        lowest = _raise_offsets(start, self._least)
        reversed_least = _reversed(self._least)
        highest = _raise_offsets(start, reversed_least)
        placed: dict[str, Placed] = {}
        for run in group:
            low = lowest.get(run)
            high = highest.get(run)
            made = _middle(low, None if high is None else -high)
            if made is not None:
                placed[run] = made
        return placed

    def _beside(
        self,
        group: list[str],
        placed: dict[str, Placed],
    ) -> dict[str, Placed]:
        """Place one more run by its bounds to those that are placed."""
        for run in group:
            if run in placed:
                continue
            lows = [
                placed[other].offset_s + self._least[other][run]
                for other in placed
                if run in self._least[other]
            ]
            highs = [
                placed[other].offset_s - least_s
                for other, least_s in self._least[run].items()
                if other in placed
            ]
            made = _middle(max(lows, default=None), min(highs, default=None))
            if made is not None:
                return {run: Placed(offset_s=made.offset_s, error_s=None)}
        raise AssertionError('a group of runs is not connected')


def _middle(low: float | None, high: float | None) -> Placed | None:
    if low is not None and high is not None:
        error_s = abs(high - low) * _HALF
        return Placed(offset_s=(low + high) * _HALF, error_s=error_s)
    only = high if low is None else low
    return None if only is None else Placed(offset_s=only, error_s=None)


def _raise_offsets(
    offsets: dict[str, float],
    least: dict[str, dict[str, float]],
) -> dict[str, float]:
    """Raise offsets until they keep all bounds.

    With bounds that contradict each other, as drifting clocks can give, it
    ends after as many rounds as there are runs.
    """
    raised = dict(offsets)
    changed = set(raised)
    rounds_left = len(least)
    while changed and rounds_left:
        changed = _raise_once(raised, changed, least)
        rounds_left -= 1
    return raised


def _raise_once(
    raised: dict[str, float],
    changed: set[str],
    least: dict[str, dict[str, float]],
) -> set[str]:
    changed_now: set[str] = set()
    for run in sorted(changed):
        for other, least_s in least[run].items():
            lowest = raised[run] + least_s
            if other not in raised or raised[other] < lowest:
                raised[other] = lowest
                changed_now.add(other)
    return changed_now


def _reversed(
    least: dict[str, dict[str, float]],
) -> dict[str, dict[str, float]]:
    turned: dict[str, dict[str, float]] = {run: {} for run in least}
    for run, others in least.items():
        for other, least_s in others.items():
            turned[other][run] = least_s
    return turned


def _reach(start: str, neighbours: dict[str, set[str]]) -> set[str]:
    reached = {start}
    border = [start]
    while border:
        for other in neighbours[border.pop()] - reached:
            reached.add(other)
            border.append(other)
    return reached
