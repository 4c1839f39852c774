"""What operators are told of a move."""

from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.state import Move
from mustardspur_moves import Decision, Evidence

# Decisions that a record keeps; waits for one reason count once.
KEPT_DECISIONS: Final = 100


class InForce(Record):
    """Nodes by whether they have a configuration in force.

    Parameters
    ----------
    nodes : list of str
        Nodes that have it.
    waiting : list of str
        Reachable nodes that do not have it yet.
    unreachable : list of str
        Known nodes that no control instance has a stream to.
    """

    __slots__ = ('nodes', 'waiting', 'unreachable')
    nodes: list[str]
    waiting: list[str]
    unreachable: list[str]


class DecisionNote(Record):
    """A decision with its time."""

    __slots__ = ('at_s', 'decision')
    at_s: float
    decision: Decision


class MoveNotes(Record):
    """What a leader notes of a move beside its evidence."""

    __slots__ = ('decisions', 'in_force')
    decisions: list[DecisionNote]
    in_force: InForce | None

    @classmethod
    def empty(cls) -> 'MoveNotes':
        """Return notes without any decision."""
        return cls(decisions=[], in_force=None)

    def add(self, note: DecisionNote) -> None:
        """Note a decision, unless it repeats the last one."""
        if self.decisions:
            last = self.decisions[-1].decision
            if _says_the_same(last, note.decision):
                return
        self.decisions = [*self.decisions, note][-KEPT_DECISIONS:]


class VersionCounts(Record):
    """Outcomes of one version in one data centre."""

    __slots__ = ('calls', 'failures', 'refusals')
    calls: int
    failures: int
    refusals: int


class MoveRecord(Record):
    """A move with the evidence and the decisions of this leader.

    Parameters
    ----------
    move : Move
        The move as the log has it.
    share_by_data_centre : dict of float
        Share of the calls at this step that went to the new version.
    counts : dict of VersionCounts
        Outcomes by ``version@data_centre``.
    decisions : list of DecisionNote
        Newest last.
    in_force : InForce or None
        Nodes on which the last step is in force, once it was asked for.
    """

    __slots__ = (
        'move',
        'share_by_data_centre',
        'counts',
        'decisions',
        'in_force',
    )
    move: Move
    share_by_data_centre: dict[str, float]
    counts: dict[str, VersionCounts]
    decisions: list[DecisionNote]
    in_force: InForce | None


def measured_shares(move: Move, evidence: Evidence) -> dict[str, float]:
    """Return the new version's share of the calls at the move's step."""
    calls_by_place: dict[str, list[int]] = {}
    for slot, cells in evidence.cells_by_slot.items():
        for key, tally in cells.items():
            calls = calls_by_place.setdefault(key.data_centre, [0, 0])
            if slot.step == move.step:
                calls[key.version == move.to_version] += tally.calls
    return {
        place: round(calls[1] / max(sum(calls), 1), 4)
        for place, calls in sorted(calls_by_place.items())
    }


def counts_by_place(evidence: Evidence) -> dict[str, VersionCounts]:
    """Return the outcomes by ``version@data_centre``."""
    counts: dict[str, VersionCounts] = {}
    for key, tally in evidence.all_cells():
        total = counts.setdefault(
            f'{key.version}@{key.data_centre}',
            VersionCounts(calls=0, failures=0, refusals=0),
        )
        total.calls += tally.calls
        total.failures += tally.failures
        total.refusals += tally.refusals
    return dict(sorted(counts.items()))


def _says_the_same(one: Decision, other: Decision) -> bool:
    return (one.action, one.share, one.reason) == (
        other.action,
        other.share,
        other.reason,
    )
