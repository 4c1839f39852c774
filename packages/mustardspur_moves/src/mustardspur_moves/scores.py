"""Intermediate results of a judge, kept by slot."""

from typing import Final

from mustardspur_moves.slots import Slot, time_of

# Series beside the one over all targets: the candidates for a sick target
# seldom change.
KEPT_SERIES: Final = 3


class Scores:
    """Results by series and slot, valid while no earlier slot changes.

    Explanation
    ===========

    Evidence changes at its newest slot, so a judge that keeps what it had
    after each slot looks at few counts again. A series is named by the
    target that is left out, the empty name leaves out none.
    """

    __slots__ = ('_by_series', '_bases')

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._by_series: dict[str, dict[Slot, object]] = {}
        self._bases: dict[str, object] = {}

    def get(self, series: str, slot: Slot) -> object:
        """Return the result after a slot, None if it is not known."""
        return self._by_series.get(series, {}).get(slot)

    def base(self, series: str) -> object:
        """Return the result after the last slot that was dropped."""
        return self._bases.get(series)

    def keep(self, series: str, slot: Slot, score: object) -> None:
        """Keep the result after a slot."""
        self._by_series.setdefault(series, {})[slot] = score
        if len(self._by_series) > KEPT_SERIES:
            oldest = next(name for name in self._by_series if name)
            self._by_series.pop(oldest)
            self._bases.pop(oldest, None)

    def drop_from(self, changed: Slot) -> None:
        """Forget the results of a changed slot and of those after it."""
        for series, by_slot in self._by_series.items():
            if by_slot and time_of(next(reversed(by_slot))) >= time_of(changed):
                self._by_series[series] = {
                    slot: score
                    for slot, score in by_slot.items()
                    if time_of(slot) < time_of(changed)
                }

    def compact(self, slot: Slot) -> None:
        """Turn the results after a slot into the bases of their series."""
        for series, by_slot in self._by_series.items():
            if slot in by_slot:
                self._bases[series] = by_slot.pop(slot)
