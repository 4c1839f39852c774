"""Evidence about moves, merged until it is passed on."""

from collections import Counter, defaultdict

from mustardspur_core.messages import OutcomeRow
from mustardspur_core.record import replaced

from mustardspur_control.relay.messages import OutcomeSummary

_RowKey = tuple[str, str, str, str]


class OutcomeBuffer:
    """Outcomes by move, version, route, data centre and target."""

    __slots__ = ('_rows',)

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, dict[_RowKey, OutcomeRow]] = defaultdict(dict)

    def add(self, move: str, rows: list[OutcomeRow]) -> None:
        """Merge rows by adding their counts."""
        held = self._rows[move]
        for row in rows:
            key = (row.version, row.route, row.data_centre, row.target)
            earlier = held.get(key)
            held[key] = row if earlier is None else _sum(earlier, row)

    def take(self) -> list[OutcomeSummary]:
        """Return what was merged, and start empty."""
        summaries = [
            OutcomeSummary(move=move, rows=list(rows.values()))
            for move, rows in self._rows.items()
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
