"""Merge of the nodes' reports at a control instance."""

from mustardspur_core.messages import Outcomes

from mustardspur_moves.evidence import Cells, key_of, row_of, tally_of
from mustardspur_moves.tally import Tally


class OutcomeCollector:
    """Sums reports per move until they are passed on.

    Explanation
    ===========

    A control instance that is not the leader passes one report per move
    and interval on, whatever the number of its nodes.
    """

    __slots__ = ('_cells_by_step',)

    def __init__(self) -> None:
        """Start empty."""
        self._cells_by_step: dict[tuple[str, int], Cells] = {}

    def add(self, outcomes: Outcomes) -> None:
        """Add a report."""
        step_key = (outcomes.move, outcomes.step)
        cells = self._cells_by_step.setdefault(step_key, {})
        for row in outcomes.rows:
            total = cells.setdefault(key_of(row), Tally.empty())
            total.add(tally_of(row))

    def drain(self) -> list[Outcomes]:
        """Return one report per move and step and start again."""
        drained = [
            Outcomes(
                move=move,
                step=step,
                rows=[row_of(key, tally) for key, tally in cells.items()],
            )
            for (move, step), cells in self._cells_by_step.items()
        ]
        self._cells_by_step = {}
        return drained
