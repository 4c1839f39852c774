"""Outcomes of calls during a move, merged from many reports."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from mustardspur_core.messages import OutcomeRow

from mustardspur_moves.scores import Scores
from mustardspur_moves.slots import Slot, time_of
from mustardspur_moves.tally import Tally


class CellKey(NamedTuple):
    """What outcomes are counted by."""

    version: str
    target: str
    route: str
    data_centre: str
    caller: str


Cells = dict[CellKey, Tally]
_NO_TIME = (-1, -1)
# Counts whose slot was compacted elsewhere.
_PAST = Slot(step=-1, window=-1)


class Evidence:
    """Tallies by slot and cell.

    Explanation
    ===========

    Merging adds counts key by key, so it is associative and commutative and
    reports can be merged on any path from the nodes to the leader. Slots
    that are compacted keep their counts in `past`, without their time.

    Attributes
    ----------
    cells_by_slot : dict of dict of Tally
        Counts of recent slots.
    past : dict of Tally
        Sum of the compacted slots.
    first_windows : dict of int
        Window of the first call, by target.
    scores : Scores
        What a judge keeps by slot.

    See Also
    --------
    mustardspur_moves.decision.decide : decides over evidence.
    """

    __slots__ = (
        'cells_by_slot',
        'past',
        'first_windows',
        'scores',
        '_compacted_until',
        '_calls_by_slot',
        '_calls_by_step',
    )

    def __init__(self) -> None:
        """Start without any outcome."""
        self.cells_by_slot: dict[Slot, Cells] = {}
        self.past: Cells = {}
        self.first_windows: dict[str, int] = {}
        self.scores = Scores()
        self._compacted_until = _NO_TIME
        self._calls_by_slot: dict[Slot, dict[str, int]] = {}
        self._calls_by_step: dict[tuple[int, str], int] = {}

    def __eq__(self, other: object) -> bool:
        """Compare the counts."""
        if not isinstance(other, Evidence):
            return NotImplemented
        return (
            self.cells_by_slot == other.cells_by_slot
            and self.past == other.past
        )

    __hash__ = None  # type: ignore[assignment]

    def add_rows(self, slot: Slot, rows: Iterable[OutcomeRow]) -> None:
        """Add the rows of a report that arrived in a slot."""
        for row in rows:
            self.add(slot, key_of(row), tally_of(row))

    def add(self, slot: Slot, key: CellKey, tally: Tally) -> None:
        """Add counts of one cell; `tally` must not change after that."""
        self._count_calls(slot, key.version, tally.calls)
        first = self.first_windows.get(key.target, slot.window)
        self.first_windows[key.target] = min(first, slot.window)
        if time_of(slot) <= self._compacted_until:
            _add_to(self.past, key, tally)
            return
        self.scores.drop_from(slot)
        _add_to(self.cells_by_slot.setdefault(slot, {}), key, tally)

    def compact(self, before_window: int) -> None:
        """Fold the judged slots before a window into `past`."""
        for slot in self.slots():
            if slot.window >= before_window or not self.scores.get('', slot):
                break
            for key, tally in self.cells_by_slot.pop(slot).items():
                _add_to(self.past, key, tally)
            self.scores.compact(slot)
            self._calls_by_slot.pop(slot)
            self._compacted_until = time_of(slot)

    def absorb(self, other: 'Evidence') -> None:
        """Add all counts of another piece of evidence to this one."""
        for slot, cells in other.cells_by_slot.items():
            for key, tally in cells.items():
                self.add(slot, key, tally)
        for past_key, past_tally in other.past.items():
            self._count_calls(_PAST, past_key.version, past_tally.calls)
            _add_to(self.past, past_key, past_tally)

    def slots(self) -> list[Slot]:
        """Return the recent slots that have outcomes, oldest first."""
        return sorted(self.cells_by_slot, key=time_of)

    def tallies(self) -> Iterator[tuple[CellKey, Tally]]:
        """Iterate over all tallies."""
        yield from self.past.items()
        for cells in self.cells_by_slot.values():
            yield from cells.items()

    def calls(self, version: str, step: int | None = None) -> int:
        """Return the number of calls of a version, in one step if given."""
        return sum(
            calls
            for key, calls in self._calls_by_step.items()
            if key[1] == version and step in {None, key[0]}
        )

    def calls_in(self, slot: Slot, version: str) -> int:
        """Return the number of calls that a version got in a slot."""
        return self._calls_by_slot[slot].get(version, 0)

    def calls_since(self, window: int, version: str) -> int:
        """Return the number of calls that a version got from a window on."""
        return sum(
            self.calls_in(slot, version)
            for slot in self.cells_by_slot
            if slot.window >= window
        )

    def _count_calls(self, slot: Slot, version: str, calls: int) -> None:
        step_key = (slot.step, version)
        known = self._calls_by_step.get(step_key, 0)
        self._calls_by_step[step_key] = known + calls
        if slot != _PAST and time_of(slot) > self._compacted_until:
            by_version = self._calls_by_slot.setdefault(slot, {})
            by_version[version] = by_version.get(version, 0) + calls


def merge(one: Evidence, other: Evidence) -> Evidence:
    """Return the sum of two pieces of evidence, not yet judged."""
    total = Evidence()
    total.absorb(one)
    total.absorb(other)
    return total


def key_of(row: OutcomeRow) -> CellKey:
    """Return what the counts of a row belong to."""
    return CellKey(
        row.version, row.target, row.route, row.data_centre, row.caller
    )


def tally_of(row: OutcomeRow) -> Tally:
    """Return the counts of a row."""
    return Tally(
        calls=row.calls,
        failures=row.failures,
        refusals=row.refusals,
        latency_counts={
            int(bucket): count for bucket, count in row.latency_counts.items()
        },
    )


def row_of(key: CellKey, tally: Tally) -> OutcomeRow:
    """Return the wire's form of a cell."""
    return OutcomeRow(
        **key._asdict(),
        calls=tally.calls,
        failures=tally.failures,
        refusals=tally.refusals,
        latency_counts={
            str(bucket): count for bucket, count in tally.latency_counts.items()
        },
    )


def _add_to(cells: Cells, key: CellKey, tally: Tally) -> None:
    kept = cells.get(key)
    if kept is None:
        cells[key] = tally
    else:
        cells[key] = kept.plus(tally)
