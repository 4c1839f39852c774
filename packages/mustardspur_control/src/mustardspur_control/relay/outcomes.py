"""Evidence about moves, merged until it is passed on."""

from collections import Counter, defaultdict

from mustardspur_core.messages import OutcomeRow, Outcomes
from mustardspur_core.record import replaced

from mustardspur_control.relay.messages import OutcomeSummary

_RowKey = tuple[str, str, str, str, str]
_StepKey = tuple[str, int]


class OutcomeBuffer:
    """Outcomes by move, step, version, route, data centre, target, caller."""

    __slots__ = ('_rows',)

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[_StepKey, dict[_RowKey, OutcomeRow]]
        self._rows = defaultdict(dict)

    def add(self, outcomes: Outcomes) -> None:
        """Merge rows by adding their counts."""
        held = self._rows[outcomes.move, outcomes.step]
        for row in outcomes.rows:
            place = (row.route, row.data_centre)
            key = (row.version, *place, row.target, row.caller)
            earlier = held.get(key)
            held[key] = row if earlier is None else _sum(earlier, row)

    def take(self) -> list[OutcomeSummary]:
        """Return what was merged, and start empty."""
        summaries = [
            OutcomeSummary(move=move, step=step, rows=list(rows.values()))
            for (move, step), rows in self._rows.items()
        ]
        self._rows.clear()
        return summaries


def _sum(one: OutcomeRow, other: OutcomeRow) -> OutcomeRow:
    counts = Counter(one.latency_counts) + Counter(other.latency_counts)
    return replaced(
        one,
        calls=one.calls + other.calls,
        failures=one.failures + other.failures,
        refusals=one.refusals + other.refusals,
        latency_counts=dict(counts),
    )
