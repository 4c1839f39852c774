"""Guards against replicas that differ, and against broken invariants."""

from collections.abc import Iterator
from itertools import chain
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_control.store import Store
from mustardspur_core.messages import Heartbeat
from mustardspur_core.record import Record, replaced
from mustardspur_core.state import ServiceConfig
from mustardspur_core.wire import encode_frame

from tests.control.builders import (
    MOVE_ENTRIES,
    NOW_S,
    SERVICE,
    apply_all,
    follow,
    order,
    profile,
    put,
    step,
    store_with_move,
)

_NAMES = st.sampled_from(['lens-bench-standard', 'night'])
_VERSIONS = st.sampled_from(['1.0', '1.1', '1.2'])
_SERVICES = st.sampled_from([SERVICE, 'intake'])
# Few identifiers, so that resends and reused identifiers are drawn often.
_EDIT_IDS = st.sampled_from([f'e{number}' for number in range(60)])
_STATES = st.sampled_from(['running', 'paused', 'done', 'taken_back'])
_SHARES = st.sampled_from([0, 0.1, 1])
_ORDERS = st.sampled_from(['pause', 'resume', 'take_back', 'force'])
# Offset from the number or step that would be accepted.
_ERRORS = st.sampled_from([0, 0, 0, 0, 1, -1])


def _draw_put(draw: st.DrawFn, store: Store) -> Record:
    name = draw(_NAMES)
    new_profile = profile(draw(_VERSIONS), name)
    if draw(_ERRORS) > 0:
        new_profile = replaced(new_profile, routes=[])
    stored = store.profiles.get(name)
    number = stored.number if stored else 0
    return put(
        '1.0',
        max(number + draw(_ERRORS), 0),
        edit_id=draw(_EDIT_IDS),
        profile=new_profile,
    )


def _draw_follow(draw: st.DrawFn, store: Store) -> Record:
    return follow(
        draw(_NAMES),
        service=draw(_SERVICES),
        edit_id=draw(_EDIT_IDS),
    )


def _draw_order(draw: st.DrawFn, store: Store) -> Record:
    move = draw(st.sampled_from([*store.moves, 'a:b:1']))
    return order(draw(_ORDERS), move, edit_id=draw(_EDIT_IDS))


def _draw_step(draw: st.DrawFn, store: Store) -> Record:
    move = draw(st.sampled_from([*store.moves, 'a:b:1']))
    record = store.moves.get(move)
    done = record.move.step if record else 0
    return step(
        done + draw(_ERRORS),
        move=move,
        state=draw(_STATES),
        share=draw(_SHARES),
    )


_KINDS = st.sampled_from(
    [_draw_put, _draw_put, _draw_follow, _draw_order, _draw_step, _draw_step]
)


@st.composite
def _entries(draw: st.DrawFn) -> list[bytes]:
    store = store_with_move()
    entries = [encode_frame(entry) for entry in MOVE_ENTRIES]
    for kind in draw(st.lists(_KINDS, max_size=30)):
        entry = encode_frame(kind(draw, store))
        store.apply(store.index + 1, entry)
        entries.append(entry)
    return entries


def _apply(store: Store, entries: list[bytes]) -> list[Any]:
    return [store.apply(store.index + 1, entry) for entry in entries]


@given(_entries(), st.integers(0, 30))
def test_snapshot_equals_replay(entries: list[bytes], cut: int) -> None:
    """Guards against a replica that differs after a restart or refill."""
    replayed, first, restored = Store(), Store(), Store()
    answers = _apply(replayed, entries)
    _apply(first, entries[:cut])
    restored.restore(first.index, first.snapshot())
    assert _apply(restored, entries[cut:]) == answers[cut:]
    assert restored.snapshot() == replayed.snapshot()
    assert _configs(restored) == _configs(replayed)


@given(_entries())
def test_invariants(entries: list[bytes]) -> None:
    """Guards against an index or a number that skips or decreases."""
    store = Store()
    changed: list[str] = []
    store.on_change(changed.append)
    for entry in entries:
        before = (_configs(store), _numbers(store))
        changed.clear()
        answer = store.apply(store.index + 1, entry)
        _assert_step(store, before, changed)
        if answer.status != 'accepted' or answer.index != store.index:
            assert (_configs(store), _numbers(store)) == before


def _assert_step(store: Store, before: Any, changed: list[str]) -> None:
    configs, numbers = before
    for service, config in _configs(store).items():
        old = configs.get(service)
        assert (config != old) is (service in changed)
        if config != old:
            assert config.index == store.index
    for name, number in _numbers(store).items():
        assert number - numbers.get(name, 0) in {0, 1}
    assert len(changed) == len(set(changed))
    newest = chain.from_iterable(map(_move_ids, _configs(store).values()))
    assert {move.id for move in store.running_moves()} <= set(newest)


def _configs(store: Store) -> dict[str, Any]:
    return {name: store.config(name) for name in store.services()}


def _move_ids(config: ServiceConfig) -> list[str]:
    return [move.id for move in config.moves]


def _numbers(store: Store) -> dict[str, int]:
    return {name: stored.number for name, stored in store.profiles.items()}


def _bad_entries() -> Iterator[bytes]:
    good = encode_frame(put('1.2', 2))
    yield b''
    yield good[:-1]
    yield b'\xff' * 20
    yield encode_frame(Heartbeat(sequence=1))
    damaged = replaced(profile('1.2'), routes=[])
    yield encode_frame(put('1.2', 2, profile=damaged))
    valid = profile('1.2')
    endless = replaced(valid.move, within_s=float('nan'))
    yield encode_frame(put('1.2', 2, profile=replaced(valid, move=endless)))
    late = replaced(valid.move, within_s=None, by='2020-01-01T00:00:00Z')
    yield encode_frame(put('1.2', 2, profile=replaced(valid, move=late)))
    yield encode_frame(follow(service='a:b', edit_id='bad'))
    yield encode_frame(put('1.2', 2, operator='x' * 129))


@pytest.mark.parametrize('entry', list(_bad_entries()))
def test_bad_entry_changes_nothing(entry: bytes) -> None:
    """Guards against a bad entry that is applied in part or raises."""
    store = store_with_move()
    before = (_configs(store), store.profiles, store.moves)
    answer = store.apply(store.index + 1, entry)
    assert answer.status == 'invalid'
    assert answer.findings
    assert (_configs(store), store.profiles, store.moves) == before


def test_index_must_increase() -> None:
    """Guards against an entry that is applied twice."""
    store = store_with_move()
    entry = encode_frame(put('1.2', 2))
    for index in (store.index, store.index - 1):
        with pytest.raises(ValueError, match='index'):
            store.apply(index, entry)


def test_restore_refuses_older_or_damaged_snapshot() -> None:
    """Guards against restoring an older or damaged configuration."""
    old, new = store_with_move(), store_with_move()
    apply_all(new, put('1.2', 2))
    for index, snapshot in (
        (old.index, old.snapshot()),
        (old.index, new.snapshot()),
        (new.index, new.snapshot()[:-1]),
        (new.index, b'\x90'),
    ):
        before = new.snapshot()
        with pytest.raises(ValueError, match='snapshot'):
            new.restore(index, snapshot)
        assert new.snapshot() == before


def test_restore_reports_changed_services() -> None:
    """Guards against a restored state that is not sent to the nodes."""
    source, store = store_with_move(), Store()
    changed: list[str] = []
    store.on_change(changed.append)
    store.restore(source.index + 5, source.snapshot())
    assert changed == [SERVICE]
    assert store.index == source.index + 5
    store.restore(source.index + 6, source.snapshot())
    assert changed == [SERVICE]


def test_apply_uses_the_time_of_the_entry() -> None:
    """Guards against a state that depends on the clock of a replica."""
    store = Store()
    apply_all(store, put('1.0', 0), follow(), put('1.1', 1, at_s=NOW_S + 5))
    move = store.running_moves()[0]
    assert (move.started_s, move.by_s) == (NOW_S + 5, NOW_S + 605)
