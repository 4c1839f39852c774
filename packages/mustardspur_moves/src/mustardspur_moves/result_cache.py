"""Cache of intermediate test results by slot."""

from typing import Final

from mustardspur_moves.slots import Slot, time_order

# Number of cached series: the one over all targets, and those that leave out a
# possibly faulty target, which seldom changes.
MAX_SERIES: Final = 3


class ResultCache:
    """Results by series and slot, valid until that or an earlier slot changes.

    Explanation
    ===========

    Most changes affect the newest slot of the evidence, so with the result
    after each slot in the cache, a test evaluates few slots again. A series is
    identified by the target that it leaves out, or by an empty string if it
    leaves out none.
    """

    __slots__ = ('_bases', '_by_series')

    def __init__(self) -> None:
        """Initialise an empty cache."""
        self._by_series: dict[str, dict[Slot, object]] = {}
        self._bases: dict[str, object] = {}

    def get(self, series: str, slot: Slot) -> object:
        """Return the result after a slot, None if it is not cached."""
        return self._by_series.get(series, {}).get(slot)

    def base(self, series: str) -> object:
        """Return the result after the last compacted slot, None for none."""
        return self._bases.get(series)

    def store(self, series: str, slot: Slot, result: object) -> None:
        """Store the result after a slot; the oldest series may be evicted."""
        self._by_series.setdefault(series, {})[slot] = result
        if len(self._by_series) > MAX_SERIES:
            oldest = next(name for name in self._by_series if name)
            self._by_series.pop(oldest)
            self._bases.pop(oldest, None)

    def invalidate_from(self, changed: Slot) -> None:
        """Remove the results of a changed slot and of all later ones."""
        for series, by_slot in self._by_series.items():
            if by_slot and time_order(next(reversed(by_slot))) >= time_order(
                changed
            ):
                self._by_series[series] = {
                    slot: result
                    for slot, result in by_slot.items()
                    if time_order(slot) < time_order(changed)
                }

    def compact(self, slot: Slot) -> None:
        """Make the results after a slot the bases of their series."""
        for series, by_slot in self._by_series.items():
            if slot in by_slot:
                self._bases[series] = by_slot.pop(slot)
