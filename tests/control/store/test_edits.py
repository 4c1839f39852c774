"""Guards against edits that take effect twice or in an undefined way."""

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
    new_profile = profile(version, OTHER)
    if by is not None:
        new_profile = replaced(
            new_profile, move=replaced(new_profile.move, within_s=None, by=by)
        )
    return put(
        version, number, edit_id=f'{OTHER}-{version}', profile=new_profile
    )


ENTRIES: Mapping[str, Record] = MappingProxyType(
    {
        'same': put('1.1', 2),
        'third': put('1.2', 2),
        'back': put('1.0', 2),
        'on_again': put('1.1', 3),
        'pause': order('pause'),
        'done': step(0, state='done', share=1.0),
        'rollback': step(0, state='taken_back'),
        'other_1.0': _other('1.0'),
        'other_1.1': _other('1.1'),
        'other_1.3': _other('1.3'),
        'other_1.4': _other('1.4', 1),
        'follow_other': follow(OTHER),
        'follow_again': follow(edit_id='again'),
    }
)
# Entries after a running move 1.0 -> 1.1 that started at index 3; then the
# state and the versions of the newest move and the number of all moves.
MOVE_CASES = (
    ('', 'running', '1.0>1.1', 1),
    ('same', 'running', '1.0>1.1', 1),
    ('third', 'running', '1.0>1.2', 2),
    ('back', 'taken_back', '1.0>1.1', 1),
    ('back on_again', 'running', '1.0>1.1', 2),
    ('pause third', 'running', '1.0>1.2', 2),
    ('done third', 'running', '1.1>1.2', 2),
    ('done back', 'running', '1.1>1.0', 2),
    ('rollback same', 'taken_back', '1.0>1.1', 1),
    ('rollback third', 'running', '1.0>1.2', 2),
    ('rollback back', 'taken_back', '1.0>1.1', 1),
    ('other_1.1 follow_other', 'running', '1.0>1.1', 1),
    ('other_1.3 follow_other', 'running', '1.0>1.3', 2),
    ('other_1.0 follow_other', 'taken_back', '1.0>1.1', 1),
    ('other_1.3 other_1.4', 'running', '1.0>1.1', 1),
    ('rollback follow_again', 'taken_back', '1.0>1.1', 1),
    ('rollback other_1.1 follow_other', 'running', '1.0>1.1', 2),
)


@pytest.mark.parametrize(('names', 'state', 'versions', 'count'), MOVE_CASES)
def test_edit_during_a_move(
    names: str,
    state: str,
    versions: str,
    count: int,
) -> None:
    """Guards against wrong versions, or two active moves, after an edit."""
    store = store_with_move()
    entries = [ENTRIES[name] for name in names.split()]
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
# the text that lists the earlier change.
CONFLICT_CASES: Mapping[str, _Case] = MappingProxyType(
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


@pytest.mark.parametrize('name', CONFLICT_CASES)
def test_concurrent_edits(name: str) -> None:
    """Guards against a lost update and a conflict without its cause."""
    entries, status, number, text = CONFLICT_CASES[name]
    store = Store()
    answer = apply_all(store, put('1.0', 0), *entries)[-1]
    assert answer.status == status
    assert answer.number == number
    assert text in '\n'.join(answer.changes)


def test_conflict_names_edits_that_are_not_listed() -> None:
    """Guards against a conflict answer that omits edits without notice."""
    store = Store()
    apply_all(store, *[put(f'1.{count}', count) for count in range(30)])
    answer = apply_all(store, put('2.0', 3))[0]
    assert answer.changes[0] == 'numbers 4 to 14: no longer listed'


RESENDS: Mapping[str, list[Record]] = MappingProxyType(
    {
        'accepted': [put('1.1', 1)],
        'conflict': [put('9.9', 0)],
        'invalid': [put('1.1', 1, at_s=NOW_S, operator='')],
        'follow': [follow()],
        'unknown profile': [follow('none')],
        'order': [follow(), put('1.1', 1), order('pause')],
    }
)


@pytest.mark.parametrize('name', RESENDS)
def test_resend_gets_its_first_answer(name: str) -> None:
    """Guards against a resend after a lost answer that applies twice."""
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


def test_follow_after_the_deadline_changes_nothing() -> None:
    """Guards against a move that starts after its deadline."""
    store = store_with_move()
    before = store.config(SERVICE)
    late = follow(OTHER, at_s=NOW_S + 90_000)
    by = '2027-01-15T10:00:00+00:00'
    answers = apply_all(store, _other('1.3', by=by), late)
    assert [answer.status for answer in answers] == ['accepted', 'invalid']
    assert store.config(SERVICE) == before
    assert MOVE in [move.id for move in store.running_moves()]


def test_removed_target_set_ends_its_move() -> None:
    """Guards against a move that continues without its target set."""
    store = store_with_move()
    new_profile = profile('1.1')
    sets = {'other': new_profile.target_sets['stable']}
    routes = [replaced(new_profile.routes[0], weights={'other': 1})]
    renamed = replaced(new_profile, target_sets=sets, routes=routes)
    apply_all(store, put('1.1', 2, edit_id='r', profile=renamed))
    config = store.config(SERVICE)
    assert config is not None
    assert not config.moves
    assert not store.running_moves()
    assert store.moves[MOVE].move.state == 'taken_back'
