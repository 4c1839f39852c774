"""Outcomes of calls during a move, merged from many reports."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from mustardspur_core.messages import OutcomeRow

from mustardspur_moves.outcome_counts import OutcomeCounts
from mustardspur_moves.result_cache import ResultCache
from mustardspur_moves.slots import Slot, time_order


class CellKey(NamedTuple):
    """Dimensions by which outcomes are counted."""

    version: str
    target: str
    route: str
    data_centre: str
    caller: str


Cells = dict[CellKey, OutcomeCounts]
_NOTHING_COMPACTED = (-1, -1)
# Slot for counts that other evidence has already compacted.
_COMPACTED_SLOT = Slot(step=-1, window=-1)


class Evidence:
    """Counts of outcomes by slot and cell.

    Explanation
    ===========

    Merging adds counts key by key, so it is associative and commutative and
    reports can be merged on any path from the nodes to the leader. The counts
    of compacted slots are summed in `compacted`, without their time.

    Attributes
    ----------
    cells_by_slot : dict of dict of OutcomeCounts
        Counts of the slots that are not compacted.
    compacted : dict of OutcomeCounts
        Sum of the compacted slots.
    first_windows : dict of int
        Window of the first outcome, by target.
    result_cache : ResultCache
        Intermediate test results by slot.

    See Also
    --------
    mustardspur_moves.decision.decide : decides on a move by its evidence.
    """

    __slots__ = (
        '_calls_by_slot',
        '_calls_by_step',
        '_compacted_until',
        'cells_by_slot',
        'compacted',
        'first_windows',
        'result_cache',
    )

    def __init__(self) -> None:
        """Initialise without outcomes."""
        self.cells_by_slot: dict[Slot, Cells] = {}
        self.compacted: Cells = {}
        self.first_windows: dict[str, int] = {}
        self.result_cache = ResultCache()
        self._compacted_until = _NOTHING_COMPACTED
        self._calls_by_slot: dict[Slot, dict[str, int]] = {}
        self._calls_by_step: dict[tuple[int, str], int] = {}

    def __eq__(self, other: object) -> bool:
        """Return whether all counts are equal."""
        if not isinstance(other, Evidence):
            return NotImplemented
        return (
            self.cells_by_slot == other.cells_by_slot
            and self.compacted == other.compacted
        )

    __hash__ = None  # type: ignore[assignment]

    def add_rows(self, slot: Slot, rows: Iterable[OutcomeRow]) -> None:
        """Add the rows of a report that arrived in a slot."""
        for row in rows:
            self.add(slot, key_of(row), counts_of(row))

    def add(self, slot: Slot, key: CellKey, cell_counts: OutcomeCounts) -> None:
        """Add counts to a cell; the caller must not change them afterwards."""
        self._count_calls(slot, key.version, cell_counts.calls)
        first = self.first_windows.get(key.target, slot.window)
        self.first_windows[key.target] = min(first, slot.window)
        if time_order(slot) <= self._compacted_until:
            _add_to(self.compacted, key, cell_counts)
            return
        self.result_cache.invalidate_from(slot)
        _add_to(self.cells_by_slot.setdefault(slot, {}), key, cell_counts)

    def compact(self, before_window: int) -> None:
        """Sum the slots before a window that are already tested."""
        for slot in self.slots():
            if slot.window >= before_window or not self.result_cache.get(
                '', slot
            ):
                break
            for key, cell_counts in self.cells_by_slot.pop(slot).items():
                _add_to(self.compacted, key, cell_counts)
            self.result_cache.compact(slot)
            self._calls_by_slot.pop(slot)
            self._compacted_until = time_order(slot)

    def add_evidence(self, other: 'Evidence') -> None:
        """Add all counts of other evidence to this one."""
        for slot, cells in other.cells_by_slot.items():
            for key, cell_counts in cells.items():
                self.add(slot, key, cell_counts)
        for compacted_key, compacted_counts in other.compacted.items():
            self._count_calls(
                _COMPACTED_SLOT, compacted_key.version, compacted_counts.calls
            )
            _add_to(self.compacted, compacted_key, compacted_counts)

    def slots(self) -> list[Slot]:
        """Return the slots that are not compacted, oldest first."""
        return sorted(self.cells_by_slot, key=time_order)

    def all_cells(self) -> Iterator[tuple[CellKey, OutcomeCounts]]:
        """Yield the key and counts of all cells of all slots."""
        yield from self.compacted.items()
        for cells in self.cells_by_slot.values():
            yield from cells.items()

    def calls(self, version: str, step: int | None = None) -> int:
        """Return the number of calls of a version, in one step or in all."""
        return sum(
            calls
            for key, calls in self._calls_by_step.items()
            if key[1] == version and step in {None, key[0]}
        )

    def calls_in(self, slot: Slot, version: str) -> int:
        """Return the number of calls of a version in a slot."""
        return self._calls_by_slot[slot].get(version, 0)

    def calls_since(self, window: int, version: str) -> int:
        """Return the number of calls of a version from a window on."""
        return sum(
            self.calls_in(slot, version)
            for slot in self.cells_by_slot
            if slot.window >= window
        )

    def _count_calls(self, slot: Slot, version: str, calls: int) -> None:
        step_key = (slot.step, version)
        known = self._calls_by_step.get(step_key, 0)
        self._calls_by_step[step_key] = known + calls
        if slot != _COMPACTED_SLOT and time_order(slot) > self._compacted_until:
            by_version = self._calls_by_slot.setdefault(slot, {})
            by_version[version] = by_version.get(version, 0) + calls


def merge(one: Evidence, other: Evidence) -> Evidence:
    """Return the sum of two pieces of evidence, without test results."""
    total = Evidence()
    total.add_evidence(one)
    total.add_evidence(other)
    return total


def key_of(row: OutcomeRow) -> CellKey:
    """Return the key of the cell that a row belongs to."""
    return CellKey(
        row.version, row.target, row.route, row.data_centre, row.caller
    )


def counts_of(row: OutcomeRow) -> OutcomeCounts:
    """Return the counts of a row."""
    return OutcomeCounts(
        calls=row.calls,
        failures=row.failures,
        refusals=row.refusals,
        latency_counts={
            int(bucket): count for bucket, count in row.latency_counts.items()
        },
    )


def row_of(key: CellKey, cell_counts: OutcomeCounts) -> OutcomeRow:
    """Return the row of a report for a cell."""
    return OutcomeRow(
        **key._asdict(),
        calls=cell_counts.calls,
        failures=cell_counts.failures,
        refusals=cell_counts.refusals,
        latency_counts={
            str(bucket): count
            for bucket, count in cell_counts.latency_counts.items()
        },
    )


def _add_to(cells: Cells, key: CellKey, cell_counts: OutcomeCounts) -> None:
    existing = cells.get(key)
    if existing is None:
        cells[key] = cell_counts
    else:
        cells[key] = existing.plus(cell_counts)
