"""Builders of moves, policies and evidence for tests."""

from typing import Any

from mustardspur_core.messages import OutcomeRow
from mustardspur_core.profile import MovePolicy
from mustardspur_core.state import Move
from mustardspur_moves import CellKey, Evidence, OutcomeCounts, Slot

OLD = '1.0.0'
NEW = '1.1.0'
START_S = 1_800_000_000.0
LENGTH_S = 200.0


def a_policy(**changes: Any) -> MovePolicy:
    """Return a policy that detects bad versions early."""
    fields: dict[str, Any] = {
        'within_s': LENGTH_S,
        'by': None,
        'first_share': 0.02,
        'unjudged': 'take_back',
        'weighing': 'convergence_time',
    }
    return MovePolicy(**(fields | changes))


def a_move(**changes: Any) -> Move:
    """Return a move that is running at a small share."""
    fields: dict[str, Any] = {
        'id': 'intake:stable:7',
        'service': 'intake',
        'target_set': 'stable',
        'from_version': OLD,
        'to_version': NEW,
        'started_s': START_S,
        'by_s': START_S + LENGTH_S,
        'state': 'running',
        'share': 0.05,
        'step': 2,
        'reason': '',
    }
    return Move(**(fields | changes))


def a_key(version: str, **changes: str) -> CellKey:
    """Return the key of a cell."""
    fields = {
        'target': f't0-{version}',
        'route': 'batches',
        'data_centre': 'erie-toledo',
        'caller': 'clinics',
    }
    return CellKey(version, **(fields | changes))


def a_cell_counts(
    calls: int,
    failures: int = 0,
    refusals: int = 0,
    bucket: int = 14,
) -> OutcomeCounts:
    """Return counts with the successful calls in two latency buckets."""
    succeeded = calls - failures - refusals
    upper = succeeded // 5
    return OutcomeCounts(
        calls=calls,
        failures=failures,
        refusals=refusals,
        latency_counts={bucket: succeeded - upper, bucket + 2: upper},
    )


def a_row(**changes: Any) -> OutcomeRow:
    """Return a row of a report."""
    fields: dict[str, Any] = {
        'version': NEW,
        'route': 'batches',
        'data_centre': 'erie-toledo',
        'target': 't0',
        'caller': 'clinics',
        'calls': 5,
        'failures': 1,
        'refusals': 0,
        'latency_counts': {'14': 4},
    }
    return OutcomeRow(**(fields | changes))


def window_at(seconds: float) -> int:
    """Return the one-second window at a number of seconds since the start."""
    return int(START_S + seconds)


def add_good_second(evidence: Evidence, seconds: float, step: int = 2) -> None:
    """Add one second in which both versions have the same outcomes."""
    slot = Slot(step=step, window=window_at(seconds))
    for place in range(3):
        evidence.add(slot, a_key(OLD, target=f'old{place}'), a_cell_counts(45))
        evidence.add(slot, a_key(NEW, target=f'new{place}'), a_cell_counts(5))
