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

PAUSE, RESUME = order('pause'), order('resume')
TAKE_BACK, FORCE = order('take_back'), order('force')
DONE = step(0, state='done', share=1.0)
STEPPED = step(0)
_Case = tuple[list[Record], str, str, float]

# Entries after the start of the move; the last answer's status, and the
# move's state and share at the end.
CASES: Mapping[str, _Case] = MappingProxyType(
    {
        'step': ([STEPPED], 'accepted', 'running', 0.1),
        'pause': ([STEPPED, PAUSE], 'accepted', 'paused', 0.1),
        'resume': ([STEPPED, PAUSE, RESUME], 'accepted', 'running', 0.1),
        'force': ([STEPPED, FORCE], 'accepted', 'running', 1),
        'force while paused': ([PAUSE, FORCE], 'accepted', 'running', 1),
        'take back': ([STEPPED, TAKE_BACK], 'accepted', 'taken_back', 0),
        'take back while paused': (
            [PAUSE, TAKE_BACK],
            'accepted',
            'taken_back',
            0,
        ),
        'take back when done': ([DONE, TAKE_BACK], 'accepted', 'taken_back', 0),
        'pause twice': (
            [PAUSE, order('pause', edit_id='again')],
            'conflict',
            'paused',
            0,
        ),
        'resume while running': ([RESUME], 'conflict', 'running', 0),
        'pause when done': ([DONE, PAUSE], 'conflict', 'done', 1),
        'force when done': ([DONE, FORCE], 'conflict', 'done', 1),
        'force when taken back': (
            [TAKE_BACK, FORCE],
            'conflict',
            'taken_back',
            0,
        ),
        'take back a replaced move': (
            [DONE, put('1.2', 2), TAKE_BACK],
            'conflict',
            'done',
            1,
        ),
        'unknown move': ([order('pause', 'a:b:1')], 'unknown', 'running', 0),
        'unknown order': ([order('stop')], 'invalid', 'running', 0),
        'step out of turn': ([step(1)], 'conflict', 'running', 0),
        'same step twice': (
            [STEPPED, step(0, share=0.5)],
            'conflict',
            'running',
            0.1,
        ),
        'step decided before a pause': (
            [PAUSE, STEPPED],
            'conflict',
            'paused',
            0,
        ),
        'step after the end': ([DONE, step(1)], 'conflict', 'done', 1),
        'share not a number': (
            [step(0, share=float('nan'))],
            'invalid',
            'running',
            0,
        ),
        'share above one': ([step(0, share=1.5)], 'invalid', 'running', 0),
        'done with less than all': (
            [step(0, state='done', share=0.9)],
            'invalid',
            'running',
            0,
        ),
        'unknown state': ([step(0, state='lost')], 'invalid', 'running', 0),
        'rollback with a share': (
            [step(0, state='taken_back', share=0.4)],
            'accepted',
            'taken_back',
            0,
        ),
        'raise while paused': ([PAUSE, step(1)], 'invalid', 'paused', 0),
        'rollback while paused': (
            [PAUSE, step(1, state='taken_back', share=float(0))],
            'accepted',
            'taken_back',
            0,
        ),
        'end of a paused move at its time': (
            [
                PAUSE,
                step(1, state='done', share=1.0, at_s=NOW_S + WITHIN_S),
            ],
            'accepted',
            'done',
            1,
        ),
        'step of an unknown move': (
            [step(0, move='a:b:1')],
            'unknown',
            'running',
            0,
        ),
    }
)


@pytest.mark.parametrize('name', CASES)
def test_move(name: str) -> None:
    """Guards against a move in a state that nobody ordered or decided."""
    entries, status, state, share = CASES[name]
    store = store_with_move()
    answers = apply_all(store, *entries)
    record = store.moves[MOVE]
    assert answers[-1].status == status
    assert (record.move.state, record.move.share) == (state, share)
    last = record.decisions[-1]
    assert (last.state, last.share) == (state, share)
    assert last.step == record.move.step


@pytest.mark.parametrize('name', CASES)
def test_index_follows_accepted_entries(name: str) -> None:
    """Guards against a change that no node is sent, or one without cause."""
    store = store_with_move()
    start = store.index
    answers = apply_all(store, *CASES[name][0])
    config = store.config(SERVICE)
    changed = [
        answer.index for answer in answers if answer.status == 'accepted'
    ]
    assert config is not None
    assert config.index == max([start, *changed])


def test_decisions_have_reason_and_figures() -> None:
    """Guards against a move that cannot be explained afterwards."""
    store = store_with_move()
    apply_all(store, STEPPED, PAUSE)
    started, stepped, paused = store.moves[MOVE].decisions
    assert (started.by, started.index) == ('ana', 3)
    assert (stepped.by, stepped.figures) == ('leader', {'calls': 500})
    assert (paused.by, paused.reason) == ('bor', 'paused by bor')


def test_answer_tells_why_an_order_came_too_late() -> None:
    """Guards against an operator who does not learn who was first."""
    store = store_with_move()
    answer = apply_all(store, TAKE_BACK, FORCE)[-1]
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


def test_old_moves_are_dropped_but_not_the_newest() -> None:
    """Guards against a configuration whose move is no longer known."""
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
