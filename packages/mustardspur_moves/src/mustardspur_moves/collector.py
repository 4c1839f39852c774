"""Collection of the nodes' outcome reports at a control instance."""

from mustardspur_core.messages import Outcomes

from mustardspur_moves.evidence import Cells, counts_of, key_of, row_of
from mustardspur_moves.outcome_counts import OutcomeCounts


class OutcomeCollector:
    """Sums the reports of each move and step until they are drained.

    Explanation
    ===========

    A control instance that is not the leader forwards one report per move
    and interval, regardless of the number of its nodes.
    """

    __slots__ = ('_cells_by_step',)

    def __init__(self) -> None:
        """Initialise without reports."""
        self._cells_by_step: dict[tuple[str, int], Cells] = {}

    def add(self, outcomes: Outcomes) -> None:
        """Add the counts of a report."""
        step_key = (outcomes.move, outcomes.step)
        cells = self._cells_by_step.setdefault(step_key, {})
        for row in outcomes.rows:
            total = cells.setdefault(key_of(row), OutcomeCounts.empty())
            total.add(counts_of(row))

    def drain(self) -> list[Outcomes]:
        """Return one report per move and step, and clear the sums."""
        drained = [
            Outcomes(
                move=move,
                step=step,
                rows=[
                    row_of(key, cell_counts)
                    for key, cell_counts in cells.items()
                ],
            )
            for (move, step), cells in self._cells_by_step.items()
        ]
        self._cells_by_step = {}
        return drained
