"""Guards against edits with an undefined or a double effect."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import pytest
from mustardspur_control.store import Store
from mustardspur_core.edits import PutProfile
from mustardspur_core.record import Record, replaced
from mustardspur_core.wire import encode_frame

from tests.control.builders import (
    MOVE,
    NOW_S,
    PROFILE,
    SERVICE,
    apply_all,
    follow,
    order,
    profile,
    put,
    step,
    store_with_move,
)

OTHER = 'night'
_Case = tuple[Any, ...]


def _other(version: str, number: int = 0, by: str | None = None) -> PutProfile:
    made = profile(version, OTHER)
    if by is not None:
        made = replaced(made, move=replaced(made.move, within_s=None, by=by))
    return put(version, number, edit_id=f'{OTHER}-{version}', profile=made)


# Entries after a running move 1.0 -> 1.1 that started at index 3, and the
# newest move, its state, its versions and the number of recorded moves.
MOVE_CASES: Mapping[str, _Case] = MappingProxyType(
    {
        'none': ([], 'running', '1.0>1.1', 1),
        'same version': ([put('1.1', 2)], 'running', '1.0>1.1', 1),
        'edit during a move': ([put('1.2', 2)], 'running', '1.0>1.2', 2),
        'edit back': ([put('1.0', 2)], 'taken_back', '1.0>1.1', 1),
        'edit back, then on': (
            [put('1.0', 2), put('1.1', 3)],
            'running',
            '1.0>1.1',
            2,
        ),
        'edit while paused': (
            [order('pause'), put('1.2', 2)],
            'running',
            '1.0>1.2',
            2,
        ),
        'after done': (
            [step(0, state='done', share=1.0), put('1.2', 2)],
            'running',
            '1.1>1.2',
            2,
        ),
        'back after done': (
            [step(0, state='done', share=1.0), put('1.0', 2)],
            'running',
            '1.1>1.0',
            2,
        ),
        'same version after a rollback': (
            [step(0, state='taken_back'), put('1.1', 2)],
            'taken_back',
            '1.0>1.1',
            1,
        ),
        'new version after a rollback': (
            [step(0, state='taken_back'), put('1.2', 2)],
            'running',
            '1.0>1.2',
            2,
        ),
        'old version after a rollback': (
            [step(0, state='taken_back'), put('1.0', 2)],
            'taken_back',
            '1.0>1.1',
            1,
        ),
        'other profile, same aim': (
            [_other('1.1'), follow(OTHER)],
            'running',
            '1.0>1.1',
            1,
        ),
        'other profile, other aim': (
            [_other('1.3'), follow(OTHER)],
            'running',
            '1.0>1.3',
            2,
        ),
        'other profile, old version': (
            [_other('1.0'), follow(OTHER)],
            'taken_back',
            '1.0>1.1',
            1,
        ),
        'edit of a profile that is not followed': (
            [_other('1.3'), _other('1.4', 1)],
            'running',
            '1.0>1.1',
            1,
        ),
        'following again after a rollback': (
            [step(0, state='taken_back'), follow(edit_id='again')],
            'taken_back',
            '1.0>1.1',
            1,
        ),
        'following another after a rollback': (
            [step(0, state='taken_back'), _other('1.1'), follow(OTHER)],
            'running',
            '1.0>1.1',
            2,
        ),
    }
)


@pytest.mark.parametrize('name', MOVE_CASES)
def test_edit_near_a_move(name: str) -> None:
    """Guards against a service left on neither the old nor a named version."""
    entries, state, versions, count = MOVE_CASES[name]
    store = store_with_move()
    answers = apply_all(store, *entries)
    config = store.config(SERVICE)
    assert {answer.status for answer in answers} <= {'accepted'}
    assert config is not None
    newest = config.moves[0]
    assert newest.state == state
    assert f'{newest.from_version}>{newest.to_version}' == versions
    assert len(store.moves) == count
    active = [move.id for move in store.running_moves()]
    assert (active == [newest.id]) is (state == 'running')
    assert len(active) <= 1


# Entries after profile 1.0 by ana; then the status, the current number and
# the text that names the winner's change.
RACE_CASES: Mapping[str, _Case] = MappingProxyType(
    {
        'alone': ([put('1.1', 1)], 'accepted', 2, '1.1'),
        'equal numbers': (
            [put('1.1', 1), put('1.2', 1, operator='bor')],
            'conflict',
            2,
            'number 2 by ana: $.target_sets.stable.version: "1.0" -> "1.1"',
        ),
        'two behind': (
            [put('1.1', 1), put('1.2', 2), put('1.3', 1)],
            'conflict',
            3,
            'number 3 by ana: $.target_sets.stable.version: "1.1" -> "1.2"',
        ),
        'never given out': (
            [put('1.1', 7)],
            'conflict',
            1,
            'number 7 was never',
        ),
        'new but exists': ([put('1.1', 0)], 'conflict', 1, 'number 1 by ana'),
        'missing': (
            [_other('1.0', number=4)],
            'conflict',
            0,
            'the profile does not exist',
        ),
    }
)


@pytest.mark.parametrize('name', RACE_CASES)
def test_race(name: str) -> None:
    """Guards against a lost update and a loser who is told nothing."""
    entries, status, number, told = RACE_CASES[name]
    store = Store()
    answer = apply_all(store, put('1.0', 0), *entries)[-1]
    assert answer.status == status
    assert answer.number == number
    assert told in '\n'.join(answer.changes)


def test_loser_learns_which_edits_are_not_listed() -> None:
    """Guards against changes that are left out silently."""
    store = Store()
    apply_all(store, *[put(f'1.{count}', count) for count in range(30)])
    answer = apply_all(store, put('2.0', 3))[0]
    assert answer.changes[0] == 'numbers 4 to 14: no longer listed'


RESENDS: Mapping[str, list[Record]] = MappingProxyType(
    {
        'accepted': [put('1.1', 1)],
        'lost': [put('9.9', 0)],
        'invalid': [put('1.1', 1, at_s=NOW_S, operator='')],
        'follow': [follow()],
        'unknown profile': [follow('none')],
        'order': [follow(), put('1.1', 1), order('pause')],
    }
)


@pytest.mark.parametrize('name', RESENDS)
def test_resend_gets_its_first_answer(name: str) -> None:
    """Guards against a lost answer that makes an edit take effect twice."""
    store = Store()
    apply_all(store, put('1.0', 0), *RESENDS[name])
    edit = RESENDS[name][-1]
    first = store.apply(store.index + 1, encode_frame(edit))
    apply_all(store, put('1.7', 1, edit_id='a'), put('1.8', 2, edit_id='b'))
    before = (store.profiles, store.moves, store.config(SERVICE))
    second = store.apply(
        store.index + 1, encode_frame(replaced(edit, at_s=NOW_S + 60))
    )
    assert second == first
    assert (store.profiles, store.moves, store.config(SERVICE)) == before
    assert first.index < store.index - 2


def test_identifier_of_another_edit_is_refused() -> None:
    """Guards against an edit that gets the answer to a different one."""
    store = Store()
    answers = apply_all(
        store,
        put('1.0', 0, edit_id='same'),
        put('1.1', 1, edit_id='same'),
    )
    assert [answer.status for answer in answers] == ['accepted', 'invalid']
    assert answers[1].findings[0].path == '$.edit_id'
    assert store.profiles[PROFILE].number == 1


def test_follow_after_the_stated_time_changes_nothing() -> None:
    """Guards against a move that starts after the time it has to end by."""
    store = store_with_move()
    before = store.config(SERVICE)
    late = follow(OTHER, at_s=NOW_S + 90_000)
    by = '2027-01-15T10:00:00+00:00'
    answers = apply_all(store, _other('1.3', by=by), late)
    assert [answer.status for answer in answers] == ['accepted', 'invalid']
    assert store.config(SERVICE) == before
    assert MOVE in [move.id for move in store.running_moves()]


def test_removed_target_set_ends_its_move() -> None:
    """Guards against a move that runs on without its target set."""
    store = store_with_move()
    made = profile('1.1')
    sets = {'other': made.target_sets['stable']}
    routes = [replaced(made.routes[0], weights={'other': 1})]
    renamed = replaced(made, target_sets=sets, routes=routes)
    apply_all(store, put('1.1', 2, edit_id='r', profile=renamed))
    config = store.config(SERVICE)
    assert config is not None
    assert not config.moves
    assert not store.running_moves()
    assert store.moves[MOVE].move.state == 'taken_back'
