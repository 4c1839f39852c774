"""Inputs of a decision on a move."""

from typing import Final

from mustardspur_core.profile.model import MovePolicy
from mustardspur_core.record import Record
from mustardspur_core.state import Move

from mustardspur_moves.evidence import Evidence
from mustardspur_moves.schedule import FULL_SHARE, Schedule
from mustardspur_moves.tuning import tuning_of
from mustardspur_moves.verdict import Verdict, evaluate_version

# Evidence ratio from which the share is not raised.
SUSPICIOUS_RATIO: Final = 1
# Evidence ratio from which a move is not finished at its deadline.
DOUBTFUL_RATIO: Final = 3
# Calls of the new version at the current share before the next raise.
MIN_CALLS_AT_SHARE: Final = 10
# Age in report intervals above which reports do not support a raise.
STALE_REPORT_INTERVALS: Final = 4
# The targets of the new version are missing if they got no calls within this
# time although this many were expected.
MISSING_AFTER_CALLS: Final = 30
MISSING_AFTER_S: Final = 20


class DecisionInputs(Record):
    """A move, its evidence and what is derived from them at one time."""

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
    def has_enough_evidence(self) -> bool:
        """Whether the evidence supports the full share."""
        if self.new_calls < self.schedule.last.needed_calls:
            return False
        is_doubtful = self.verdict.evidence_ratio >= DOUBTFUL_RATIO
        return not (is_doubtful or self.reports_are_stale)

    @property
    def is_suspicious(self) -> bool:
        """Whether the evidence ratio is too high for a raise."""
        return self.verdict.evidence_ratio >= SUSPICIOUS_RATIO

    @property
    def reports_are_stale(self) -> bool:
        """Whether the newest report is too old to support a raise."""
        tuning = tuning_of(self.policy)
        slots = self.evidence.cells_by_slot
        newest = max((slot.window for slot in slots), default=0)
        age_s = self.now_s - (newest + 1) * tuning.window_s
        return age_s > STALE_REPORT_INTERVALS * tuning.report_interval_s

    @property
    def targets_are_missing(self) -> bool:
        """Whether the new version got none of the calls due by its share."""
        share = self.move.share
        if share >= FULL_SHARE:
            return False
        first_window = 0
        if self.new_calls:
            window_s = tuning_of(self.policy).window_s
            first_window = int((self.now_s - MISSING_AFTER_S) // window_s)
        old_calls = self.evidence.calls_since(
            first_window, self.move.from_version
        )
        if old_calls * share < MISSING_AFTER_CALLS * (1 - share):
            return False
        return not self.evidence.calls_since(first_window, self.move.to_version)

    def figures(self) -> dict[str, float]:
        """Return the figures for the record of the move."""
        return {
            'evidence_ratio': _round_ratio(self.verdict.evidence_ratio),
            'threshold': self.verdict.threshold,
            'new_calls': float(self.new_calls),
            'old_calls': float(self.old_calls),
            'calls_at_share': float(self.calls_at_share),
            'left_s': round(self.move.by_s - self.now_s, 1),
        }


def collect_inputs(
    move: Move,
    policy: MovePolicy,
    evidence: Evidence,
    now_s: float,
) -> DecisionInputs:
    """Return the inputs of a decision at a wall clock time in seconds."""
    return DecisionInputs(
        move=move,
        policy=policy,
        evidence=evidence,
        now_s=now_s,
        schedule=Schedule.of(move, policy),
        verdict=evaluate_version(move, policy, evidence),
        new_calls=evidence.calls(move.to_version),
        old_calls=evidence.calls(move.from_version),
        calls_at_share=evidence.calls(move.to_version, move.step),
    )


def _round_ratio(ratio: float) -> float:
    return float(format(ratio, '.4g'))
