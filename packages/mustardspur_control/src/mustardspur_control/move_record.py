"""Records about moves for operators."""

from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.state import Move
from mustardspur_moves import Decision, Evidence

# Newest decisions in a record. Equal decisions in a row are stored once.
MAX_DECISIONS: Final = 100


class InForce(Record):
    """Nodes by whether they have a configuration in force.

    Parameters
    ----------
    nodes : list of str
        Nodes that have it.
    waiting : list of str
        Connected nodes that do not have it yet.
    unreachable : list of str
        Known nodes without a stream to any control instance.
    """

    __slots__ = ('nodes', 'waiting', 'unreachable')
    nodes: list[str]
    waiting: list[str]
    unreachable: list[str]


class TimedDecision(Record):
    """A decision with its time."""

    __slots__ = ('at_s', 'decision')
    at_s: float
    decision: Decision


class DecisionHistory(Record):
    """Decisions on a move, and its last check of the nodes in force."""

    __slots__ = ('decisions', 'in_force')
    decisions: list[TimedDecision]
    in_force: InForce | None

    @classmethod
    def empty(cls) -> 'DecisionHistory':
        """Return a history without decisions."""
        return cls(decisions=[], in_force=None)

    def add(self, timed: TimedDecision) -> None:
        """Append a decision, unless it equals the last one."""
        if self.decisions:
            last = self.decisions[-1].decision
            if _is_equal(last, timed.decision):
                return
        self.decisions = [*self.decisions, timed][-MAX_DECISIONS:]


class VersionCounts(Record):
    """Outcomes of one version in one data centre."""

    __slots__ = ('calls', 'failures', 'refusals')
    calls: int
    failures: int
    refusals: int


class MoveReport(Record):
    """A move with the evidence and the decisions of this leader.

    Parameters
    ----------
    move : Move
        The replicated state of the move.
    share_by_data_centre : dict of float
        Share of the calls at this step that went to the new version.
    counts : dict of VersionCounts
        Outcomes by ``version@data_centre``.
    decisions : list of TimedDecision
        Decisions, newest last.
    in_force : InForce or None
        Nodes on which the last step is in force, None before the first
        check.
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
    decisions: list[TimedDecision]
    in_force: InForce | None


def measured_shares(move: Move, evidence: Evidence) -> dict[str, float]:
    """Return the new version's share of the calls by data centre.

    Only calls at the current step of the move count.
    """
    calls_by_data_centre: dict[str, list[int]] = {}
    for slot, outcomes_by_key in evidence.cells_by_slot.items():
        for key, outcomes in outcomes_by_key.items():
            calls = calls_by_data_centre.setdefault(key.data_centre, [0, 0])
            if slot.step == move.step:
                calls[key.version == move.to_version] += outcomes.calls
    return {
        data_centre: round(calls[1] / max(sum(calls), 1), 4)
        for data_centre, calls in sorted(calls_by_data_centre.items())
    }


def outcome_counts(evidence: Evidence) -> dict[str, VersionCounts]:
    """Return the outcomes by ``version@data_centre``."""
    counts: dict[str, VersionCounts] = {}
    for key, outcomes in evidence.all_cells():
        total = counts.setdefault(
            f'{key.version}@{key.data_centre}',
            VersionCounts(calls=0, failures=0, refusals=0),
        )
        total.calls += outcomes.calls
        total.failures += outcomes.failures
        total.refusals += outcomes.refusals
    return dict(sorted(counts.items()))


def _is_equal(one: Decision, other: Decision) -> bool:
    return (one.action, one.share, one.reason) == (
        other.action,
        other.share,
        other.reason,
    )
