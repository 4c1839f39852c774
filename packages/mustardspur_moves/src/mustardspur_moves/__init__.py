"""Decisions on moves of target versions."""

from mustardspur_moves.collector import OutcomeCollector
from mustardspur_moves.decision import decide
from mustardspur_moves.evidence import CellKey, Evidence, merge
from mustardspur_moves.guard import Guard
from mustardspur_moves.outcome import Action, Decision
from mustardspur_moves.outcome_counts import OutcomeCounts
from mustardspur_moves.schedule import Schedule, Stage
from mustardspur_moves.slots import Slot
from mustardspur_moves.tuning import Tuning, tuning_of
from mustardspur_moves.verdict import Verdict, evaluate_version

__all__ = [
    'Action',
    'CellKey',
    'Decision',
    'Evidence',
    'Guard',
    'OutcomeCollector',
    'OutcomeCounts',
    'Schedule',
    'Slot',
    'Stage',
    'Tuning',
    'Verdict',
    'decide',
    'evaluate_version',
    'merge',
    'tuning_of',
]
