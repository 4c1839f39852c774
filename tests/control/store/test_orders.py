"""Guards against orders and steps with a wrong effect on a move."""

from collections.abc import Mapping
from types import MappingProxyType
from unittest import mock

import pytest
from mustardspur_control.store import moves
from mustardspur_core.record import Record

from tests.control.builders import (
    MOVE,
    NOW_S,
    SERVICE,
    WITHIN_S,
    apply_all,
    follow,
    order,
    profile,
    put,
    step,
    store_with_move,
)

TAKE_BACK = order('take_back')
DONE = step(0, state='done', share=1.0)
LATE_S = NOW_S + WITHIN_S
ENTRIES: Mapping[str, Record] = MappingProxyType(
    {
        'step': step(0),
        'pause': order('pause'),
        'pause_again': order('pause', edit_id='again'),
        'resume': order('resume'),
        'take_back': TAKE_BACK,
        'force': order('force'),
        'done': DONE,
        'edit': put('1.2', 2),
        'order_unknown_move': order('pause', 'a:b:1'),
        'order_unknown': order('stop'),
        'step_early': step(1),
        'step_again': step(0, share=0.5),
        'step_nan': step(0, share=float('nan')),
        'step_above_one': step(0, share=1.5),
        'step_done_early': step(0, state='done', share=0.9),
        'step_unknown_state': step(0, state='lost'),
        'step_unknown_move': step(0, move='a:b:1'),
        'rollback': step(0, state='taken_back', share=0.4),
        'rollback_1': step(1, state='taken_back', share=float(0)),
        'done_late': step(1, state='done', share=1.0, at_s=LATE_S),
    }
)
# Entries after the start of the move; the last answer's status, and the
# move's state and share at the end.
CASES = (
    ('step', 'accepted', 'running', 0.1),
    ('step pause', 'accepted', 'paused', 0.1),
    ('step pause resume', 'accepted', 'running', 0.1),
    ('step force', 'accepted', 'running', 1),
    ('pause force', 'accepted', 'running', 1),
    ('step take_back', 'accepted', 'taken_back', 0),
    ('pause take_back', 'accepted', 'taken_back', 0),
    ('done take_back', 'accepted', 'taken_back', 0),
    ('pause pause_again', 'conflict', 'paused', 0),
    ('resume', 'conflict', 'running', 0),
    ('done pause', 'conflict', 'done', 1),
    ('done force', 'conflict', 'done', 1),
    ('take_back force', 'conflict', 'taken_back', 0),
    ('done edit take_back', 'conflict', 'done', 1),
    ('order_unknown_move', 'unknown', 'running', 0),
    ('order_unknown', 'invalid', 'running', 0),
    ('step_early', 'conflict', 'running', 0),
    ('step step_again', 'conflict', 'running', 0.1),
    ('pause step', 'conflict', 'paused', 0),
    ('done step_early', 'conflict', 'done', 1),
    ('step_nan', 'invalid', 'running', 0),
    ('step_above_one', 'invalid', 'running', 0),
    ('step_done_early', 'invalid', 'running', 0),
    ('step_unknown_state', 'invalid', 'running', 0),
    ('rollback', 'accepted', 'taken_back', 0),
    ('pause step_early', 'invalid', 'paused', 0),
    ('pause rollback_1', 'accepted', 'taken_back', 0),
    ('pause done_late', 'accepted', 'done', 1),
    ('step_unknown_move', 'unknown', 'running', 0),
)


def _entries(names: str) -> list[Record]:
    return [ENTRIES[name] for name in names.split()]


@pytest.mark.parametrize(('names', 'status', 'state', 'share'), CASES)
def test_move(names: str, status: str, state: str, share: float) -> None:
    """Guards against a wrong state or share after orders and steps."""
    store = store_with_move()
    answers = apply_all(store, *_entries(names))
    record = store.moves[MOVE]
    assert answers[-1].status == status
    assert (record.move.state, record.move.share) == (state, share)
    last = record.decisions[-1]
    assert (last.state, last.share) == (state, share)
    assert last.step == record.move.step


@pytest.mark.parametrize('names', [case[0] for case in CASES])
def test_index_follows_accepted_entries(names: str) -> None:
    """Guards against a wrong index, by which nodes miss or repeat updates."""
    store = store_with_move()
    start = store.index
    answers = apply_all(store, *_entries(names))
    config = store.config(SERVICE)
    changed = [
        answer.index for answer in answers if answer.status == 'accepted'
    ]
    assert config is not None
    assert config.index == max([start, *changed])


def test_decisions_have_reason_and_figures() -> None:
    """Guards against decisions without operator, reason or figures."""
    store = store_with_move()
    apply_all(store, *_entries('step pause'))
    started, stepped, paused = store.moves[MOVE].decisions
    assert (started.by, started.index) == ('ana', 3)
    assert (stepped.by, stepped.figures) == ('leader', {'calls': 500})
    assert (paused.by, paused.reason) == ('bor', 'paused by bor')


def test_conflict_names_the_earlier_order() -> None:
    """Guards against a conflict that does not name the earlier operator."""
    store = store_with_move()
    answer = apply_all(store, *_entries('take_back force'))[-1]
    assert answer.edited_by == 'bor'
    assert answer.changes == [
        'cannot force: move is taken_back (taken back by bor)',
    ]


def test_records_stay_bounded() -> None:
    """Guards against memory use that grows with every move and step."""
    store = store_with_move()
    for count in range(300):
        apply_all(store, step(count, share=0.2))
    decisions = store.moves[MOVE].decisions
    assert len(decisions) == 200
    assert (decisions[0].step, decisions[-1].step) == (0, 300)


def test_old_moves_are_removed_but_not_the_newest() -> None:
    """Guards against removing a move that a configuration refers to."""
    store = store_with_move()
    night = [
        put('1.0', 0, edit_id='n0', profile=profile('1.0', 'night')),
        follow('night', service='intake'),
        put('1.1', 1, edit_id='n1', profile=profile('1.1', 'night')),
    ]
    apply_all(store, DONE, *night)
    edits = [put(f'2.{number}', number) for number in range(2, 9)]
    with mock.patch.object(moves, 'MAX_MOVES', 4):
        apply_all(store, *edits)
    assert list(store.moves) == [
        'intake:stable:7',
        'lens-bench:stable:12',
        'lens-bench:stable:13',
        'lens-bench:stable:14',
    ]
    assert store.config('intake') is not None
