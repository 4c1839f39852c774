"""Everything that a decision on a move looks at."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.schedule import FULL_SHARE, Schedule
from mustardspur_moves.tuning import tuning_of
from mustardspur_moves.verdict import Verdict, judge

# Evidence ratio from which the share does not rise.
SUSPICIOUS_RATIO: Final = 1
# Evidence ratio from which a move is not finished at its stated time.
DOUBTFUL_RATIO: Final = 3
# Calls at the current share before it rises.
CALLS_AT_SHARE: Final = 10
# Reports older than this many report intervals do not support a raise.
STALE_REPORTS: Final = 4
# The new version's targets count as gone when none of this many expected
# calls arrived within this time.
GONE_CALLS: Final = 30
GONE_S: Final = 20


class Facts(Record):
    """A move, its evidence and what follows from both at one time."""

    __slots__ = (
        'move',
        'policy',
        'evidence',
        'now_s',
        'schedule',
        'verdict',
        'new_calls',
        'old_calls',
        'calls_at_share',
    )
    move: Move
    policy: MovePolicy
    evidence: Evidence
    now_s: float
    schedule: Schedule
    verdict: Verdict
    new_calls: int
    old_calls: int
    calls_at_share: int

    @property
    def is_judged(self) -> bool:
        """Whether the evidence is enough for the full share."""
        if self.new_calls < self.schedule.last.needed_calls:
            return False
        is_doubtful = self.verdict.evidence_ratio >= DOUBTFUL_RATIO
        return not (is_doubtful or self.reports_are_stale)

    @property
    def is_suspicious(self) -> bool:
        """Whether the new version may be bad."""
        return self.verdict.evidence_ratio >= SUSPICIOUS_RATIO

    @property
    def reports_are_stale(self) -> bool:
        """Whether the newest report is too old to support a raise."""
        tuning = tuning_of(self.policy)
        slots = self.evidence.cells_by_slot
        newest = max((slot.window for slot in slots), default=0)
        age_s = self.now_s - (newest + 1) * tuning.window_s
        return age_s > STALE_REPORTS * tuning.report_s

    @property
    def targets_are_missing(self) -> bool:
        """Whether the new version gets none of the calls that it should."""
        share = self.move.share
        if share >= FULL_SHARE:
            return False
        since = 0
        if self.new_calls:
            window_s = tuning_of(self.policy).window_s
            since = int((self.now_s - GONE_S) // window_s)
        old_calls = self.evidence.calls_since(since, self.move.from_version)
        if old_calls * share < GONE_CALLS * (1 - share):
            return False
        return not self.evidence.calls_since(since, self.move.to_version)

    def figures(self) -> dict[str, float]:
        """Return the numbers for the move's record."""
        return {
            'evidence_ratio': _rounded(self.verdict.evidence_ratio),
            'threshold': self.verdict.threshold,
            'new_calls': float(self.new_calls),
            'old_calls': float(self.old_calls),
            'calls_at_share': float(self.calls_at_share),
            'left_s': round(self.move.by_s - self.now_s, 1),
        }


def facts_of(
    move: Move,
    policy: MovePolicy,
    evidence: Evidence,
    now_s: float,
) -> Facts:
    """Collect the facts for a decision."""
    return Facts(
        move=move,
        policy=policy,
        evidence=evidence,
        now_s=now_s,
        schedule=Schedule.of(move, policy),
        verdict=judge(move, policy, evidence),
        new_calls=evidence.calls(move.to_version),
        old_calls=evidence.calls(move.from_version),
        calls_at_share=evidence.calls(move.to_version, move.step),
    )


def _rounded(ratio: float) -> float:
    return float(format(ratio, '.4g'))
