"""Builders of entries and stores for the tests of control instances."""

from typing import Any

from mustardspur_control.store import Store
from mustardspur_core.edits import (
    EditAnswer,
    FollowProfile,
    OrderMove,
    PutProfile,
    StepMove,
)
from mustardspur_core.profile import Profile, parse_profile
from mustardspur_core.record import Record
from mustardspur_core.wire import encode_frame

NOW_S = 1_800_000_000.0
WITHIN_S = 600.0
SERVICE = 'lens-bench'
PROFILE = 'lens-bench-standard'
MOVE = 'lens-bench:stable:3'


def document(version: str = '1.0', name: str = PROFILE) -> dict[str, Any]:
    """Return the document of a valid profile."""
    return {
        'name': name,
        'target_sets': {'stable': {'version': version}},
        'call_classes': {
            'quick': {
                'priority': 0,
                'max_in_flight_per_target': 4,
                'queue_limit': 50,
            },
        },
        'retries': {
            'once': {'attempts': 1, 'budget_ratio': 0, 'hedge_after_ms': 0},
        },
        'routes': [
            {
                'name': 'all',
                'path_prefix': '/',
                'methods': ['GET', 'POST'],
                'headers': {},
                'weights': {'stable': 100},
                'call_class': 'quick',
                'retry': 'once',
                'idempotent': False,
                'timeout_ms': 500,
            },
        ],
        'move': {
            'within_s': WITHIN_S,
            'first_share': 0.02,
            'unjudged': 'take_back',
            'weighing': 'convergence_time',
        },
    }


def profile(version: str = '1.0', name: str = PROFILE) -> Profile:
    """Return a valid profile."""
    parsed: Profile = parse_profile(document(version, name), 'p', NOW_S).ok
    return parsed


def put(version: str, expected_number: int, **changes: Any) -> PutProfile:
    """Return an edit of a profile; `changes` replace its fields."""
    fields: dict[str, Any] = {
        'edit_id': f'put-{version}-{expected_number}',
        'operator': 'ana',
        'expected_number': expected_number,
        'profile': profile(version),
        'at_s': NOW_S,
    }
    return PutProfile(**(fields | changes))


def follow(name: str = PROFILE, **changes: Any) -> FollowProfile:
    """Return an edit that sets the profile that the service follows."""
    fields: dict[str, Any] = {
        'edit_id': f'follow-{name}',
        'operator': 'ana',
        'service': SERVICE,
        'profile': name,
        'at_s': NOW_S,
    }
    return FollowProfile(**(fields | changes))


def order(name: str, move: str = MOVE, **changes: Any) -> OrderMove:
    """Return an operator's order for a move."""
    fields: dict[str, Any] = {
        'edit_id': f'{name}-{move}',
        'operator': 'bor',
        'move': move,
        'order': name,
        'at_s': NOW_S,
    }
    return OrderMove(**(fields | changes))


def step(expected_step: int, **changes: Any) -> StepMove:
    """Return a step that the leader decided."""
    fields: dict[str, Any] = {
        'move': MOVE,
        'expected_step': expected_step,
        'state': 'running',
        'share': 0.1,
        'reason': 'no failures',
        'figures': {'calls': 500.0},
        'at_s': NOW_S,
    }
    return StepMove(**(fields | changes))


def apply_all(store: Store, *entries: Record) -> list[EditAnswer]:
    """Apply entries at the next indexes and return their answers."""
    return [
        store.apply(store.index + 1, encode_frame(entry)) for entry in entries
    ]


MOVE_ENTRIES = (put('1.0', 0), follow(), put('1.1', 1))


def store_with_move() -> Store:
    """Return a store with the move 1.0 -> 1.1 started at index 3."""
    store = Store()
    apply_all(store, *MOVE_ENTRIES)
    return store
