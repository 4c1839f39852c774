"""Tests the order of configurations and the targets of their routes."""

import asyncio
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from mustardspur_core.deltas import make_delta
from mustardspur_core.messages import ConfigUpdate, CutOff, TargetUpdate
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig
from mustardspur_core.target_list import TargetList
from mustardspur_core.traffic_shares import reachable_versions
from mustardspur_node.config_store import ConfigStore

from tests.support.samples import (
    NULL_TIMELINE,
    config,
    move,
    node_settings,
    target,
)

# Configurations in order: an edit, a move with its steps, two edits.
CONFIGS = (
    config(1, '1'),
    config(2, '2', moves=[move(0.1)]),
    config(3, '2', moves=[move(0.5, step=2)]),
    config(4, '2', moves=[move(1, 'done', 3)]),
    config(5, '3', moves=[move(1, 'done', 3)]),
    config(6, '4', weights={'unknown': 1}),
)
CUT_OFF = CutOff(
    move='forms:stable:2',
    version='2',
    origin='n9',
    reason='errors',
)


def full(newest: ServiceConfig) -> ConfigUpdate:
    """Return an update with a full copy."""
    return ConfigUpdate(
        service='forms',
        index=newest.index,
        base_index=0,
        full=newest,
        delta=None,
    )


def delta(base: ServiceConfig, newest: ServiceConfig) -> ConfigUpdate:
    """Return an update with a delta."""
    return ConfigUpdate(
        service='forms',
        index=newest.index,
        base_index=base.index,
        full=None,
        delta=make_delta(base, newest),
    )


def target_updates() -> list[TargetUpdate]:
    """Return updates that add and remove targets of each version."""
    source = TargetList('forms')
    updates = []
    for name, version in (('t1', '1'), ('t2', '2'), ('t3', '3'), ('t4', '4')):
        earlier = source.revision
        source.put(name, target(name, version))
        updates += [source.update_from(earlier), source.update_from('')]
    for removed in ('t1', 't2'):
        earlier = source.revision
        source.put(removed, None)
        updates += [source.update_from(earlier), source.update_from('')]
    source.put('t3', target('t3', '3', state='draining'))
    return [*updates, source.update_from('')]


UPDATES: tuple[Record, ...] = (
    *(full(each) for each in CONFIGS),
    *(delta(CONFIGS[at], CONFIGS[at + 1]) for at in range(5)),
    *target_updates(),
    CUT_OFF,
)


async def apply_update(store: ConfigStore, update: Record) -> None:
    """Apply an update of any type."""
    if isinstance(update, ConfigUpdate):
        await store.apply_config(update, accept=True)
    elif isinstance(update, TargetUpdate):
        await store.apply_targets(update)
    elif isinstance(update, CutOff):
        await store.cut_off(update)


def check_view(store: ConfigStore, reached: set[str], index: int) -> None:
    """Check the view in force against the versions and index before."""
    view = store.view('forms')
    if view is None:
        assert index == 0
        return
    assert view.config.index >= index
    now_reached = reachable_versions(view.config, view.cut_off_moves)
    assert now_reached <= view.targets_by_version.keys()
    for version in now_reached - reached:
        assert view.targets_by_version[version]
    listed = [
        each for part in view.targets_by_version.values() for each in part
    ]
    assert all(each.state == 'ready' for each in listed)


def reached_by(store: ConfigStore, update: Record) -> set[str]:
    """Return the versions that may lack a target after an update."""
    view = store.view('forms')
    if view is None:
        return set()
    reached = reachable_versions(view.config, view.cut_off_moves)
    # A cut-off takes effect at once, even if version 1 has no target.
    return reached | {'1'} if update is CUT_OFF else reached


def apply_in_order(order: list[int], store: ConfigStore) -> None:
    """Apply updates in an order and check the view after each."""
    with asyncio.Runner() as runner:
        for number in order:
            index = store.applied('forms').index
            reached = reached_by(store, UPDATES[number])
            runner.run(apply_update(store, UPDATES[number]))
            check_view(store, reached, index)


@given(st.lists(st.integers(0, len(UPDATES) - 1), max_size=40))
def test_any_order_preserves_reached_versions(order: list[int]) -> None:
    """Guards against older indexes and routes to missing targets."""
    store = ConfigStore(node_settings(), NULL_TIMELINE, NullMetrics())
    apply_in_order(order, store)


@settings(max_examples=15)
@given(
    st.lists(
        st.lists(st.integers(0, len(UPDATES) - 1), max_size=8),
        max_size=4,
    ),
)
def test_restart_with_a_disk_keeps_the_index(
    tmp_path_factory: pytest.TempPathFactory,
    orders: list[list[int]],
) -> None:
    """Guards against a restart that reverts to an older configuration."""
    folder = tmp_path_factory.mktemp('node')
    index = 0
    newest: dict[str, int] = {}
    for order in orders:
        node = node_settings(data_dir=str(folder))
        store = ConfigStore(node, NULL_TIMELINE, NullMetrics())
        assert store.applied('forms').index >= index
        assert store.indexes == newest
        apply_in_order(order, store)
        index = store.applied('forms').index
        newest = store.indexes


@pytest.mark.parametrize('damage', [b'', b'x', b'\xff' * 200])
def test_damaged_file_is_not_used(tmp_path: Path, damage: bytes) -> None:
    """Guards against loading a damaged file."""
    node = node_settings(data_dir=str(tmp_path))
    store = ConfigStore(node, NULL_TIMELINE, NullMetrics())
    asyncio.run(apply_update(store, full(CONFIGS[0])))
    path = tmp_path / 'held' / 'forms.held'
    assert ConfigStore(node, NULL_TIMELINE, NullMetrics()).indexes == {
        'forms': 1
    }
    path.write_bytes(path.read_bytes()[:-1] + damage)
    assert ConfigStore(node, NULL_TIMELINE, NullMetrics()).indexes == {}


def test_pending_configuration_has_a_reason() -> None:
    """Guards against a pending configuration without a reason."""
    store = ConfigStore(node_settings(), NULL_TIMELINE, NullMetrics())
    apply_in_order([0, 12, 1], store)
    report = store.applied('forms')
    assert (report.index, report.pending_index) == (1, 2)
    assert report.reason == 'no ready target of version 2'
