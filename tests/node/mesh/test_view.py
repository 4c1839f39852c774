"""Tests of the view of routes, transfers and targets."""

import asyncio
import random
from collections import Counter

import pytest
from mustardspur_core.mesh import MeshTarget, RouteShare, Transfer
from mustardspur_core.mesh.control_messages import (
    MeshTargets,
    MeshTransfers,
)
from mustardspur_core.mesh.packing import encode_table, table_delta
from mustardspur_node.mesh.homes import Homes
from mustardspur_node.mesh.service_choice import WeightedServiceChooser
from mustardspur_node.mesh.versions import eligible_targets
from mustardspur_node.mesh.view import RETENTION_S, MeshView

from tests.core.mesh.builders import route, table, target
from tests.support.virtual_time import in_virtual_time


def _view(*rows: MeshTarget) -> MeshView:
    view = MeshView()
    tables = table(
        1,
        route('a'),
        route('deep', path_prefix='/a/deep/'),
        route('root', path_prefix='/'),
        route('other', host='stamps.example', path_prefix='/a/'),
    )
    view.apply_table(table_delta(None, 0, encode_table(tables), 5))
    view.apply_targets(MeshTargets(full=True, upserts=list(rows), removed=[]))
    return view


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('forms.example', '/a/1', 'a'),
        ('forms.example', '/a/', 'a'),
        ('forms.example', '/a', 'root'),
        ('forms.example', '/a/deep/1/2?x=/y/', 'deep'),
        ('forms.example', '/a/deeper/1', 'a'),
        ('stamps.example', '/a/1', 'other'),
        ('stamps.example', '/b/1', None),
        ('nobody.example', '/a/1', None),
    ],
)
async def test_longest_prefix_of_the_host_wins(
    host: str,
    path: str,
    expected: str | None,
) -> None:
    """Guards against a call that is routed by another route."""
    routes = _view().routes
    assert routes is not None
    found = routes.find(host, path)
    assert getattr(found, 'name', None) == expected


async def test_older_table_is_ignored() -> None:
    """Guards against replacing a table by an older one."""
    view = _view()
    older = table_delta(None, 0, encode_table(table(9, route('old'))), 4)
    view.apply_table(older)
    assert view.table_index == 5
    assert view.routes is not None
    assert view.routes.table.number == 1


async def test_difference_from_another_table_is_refused() -> None:
    """Guards against applying a delta to a table it is not based on."""
    view = _view()
    newer = encode_table(table(9, route('new')))
    with pytest.raises(ValueError, match='difference from 4'):
        view.apply_table(table_delta(newer, 4, newer, 6))


@in_virtual_time
async def test_full_update_keeps_targets_for_a_while() -> None:
    """Guards against a node without targets: a control instance that has just
    started knows only the nodes that have reached it so far.
    """
    view = _view(target('1'), target('2'), target('3'))
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('1')], removed=['127.0.0.1:3']),
    )
    view.discard_retained()
    assert sorted(view.targets_by_node) == ['127.0.0.1:1', '127.0.0.1:2']
    await asyncio.sleep(RETENTION_S / 2)
    view.apply_targets(
        MeshTargets(full=False, upserts=[target('1')], removed=[]),
    )
    await asyncio.sleep(RETENTION_S)
    view.discard_retained()
    assert [each.node for each in view.ready_targets('forms')] == [
        '127.0.0.1:1'
    ]


@in_virtual_time
async def test_retained_target_that_reports_again_stays() -> None:
    """Guards against removing a target that reached control again."""
    view = _view(target('1'))
    view.apply_targets(MeshTargets(full=True, upserts=[], removed=[]))
    view.apply_targets(
        MeshTargets(full=False, upserts=[target('1')], removed=[]),
    )
    await asyncio.sleep(2 * RETENTION_S)
    view.discard_retained()
    assert len(view.ready_targets('forms')) == 1


def _transfer(state: str, share: float) -> MeshTransfers:
    return MeshTransfers(
        index=1,
        transfers=[
            Transfer(
                service='forms',
                version='v2',
                from_version='v1',
                duration_ms=12_000.0,
                state=state,
                share=share,
                elapsed_ms=0,
                step=1,
            ),
        ],
        base_versions={'forms': 'v2' if state == 'completed' else 'v1'},
        evacuated=[],
        rolled_back={},
    )


@pytest.mark.parametrize(
    ('state', 'share', 'expected'),
    [
        ('running', 0, {'v1': 1000}),
        ('running', 1.0, {'v2': 1000}),
        ('completed', 1.0, {'v2': 1000}),
        ('rolled_back', 0, {'v1': 1000}),
    ],
)
async def test_version_follows_the_transfer(
    state: str,
    share: float,
    expected: dict[str, int],
) -> None:
    """Guards against calls to a version without a share of the transfer."""
    view = _view(target('1'), target('2', version='v2'))
    view.apply_transfers(_transfer(state, share))
    choice = random.Random(1)
    counts = Counter(
        eligible_targets(view, 'forms', choice, Homes())[0].version
        for _ in range(1000)
    )
    assert counts == expected


async def _shares(update: MeshTransfers, *versions: str) -> dict[str, int]:
    """Return how many of 1,000 calls each version may get."""
    rows = [target(version[1:], version=version) for version in versions]
    view = _view(*rows)
    view.apply_transfers(update)
    choice = random.Random(1)
    counts = Counter(
        each.version
        for _ in range(1000)
        for each in eligible_targets(view, 'forms', choice, Homes())
    )
    return dict(counts)


async def test_rolled_back_version_gets_no_further_calls() -> None:
    """Guards against calls to a bad version that was rolled back, once the
    next version is ordered and as long as its targets are there.
    """
    update = _transfer('running', 0.2)
    update.transfers[0].version = 'v3'
    update.rolled_back = {'forms': ['v2']}
    counts = await _shares(update, 'v1', 'v2', 'v3')
    assert sorted(counts) == ['v1', 'v3']
    assert counts['v3'] < 300


@pytest.mark.parametrize('state', ['running', 'completed', 'rolled_back'])
async def test_rolled_back_version_replaces_no_other(state: str) -> None:
    """Guards against calls to a bad version while no target of the base
    version is ready.
    """
    update = _transfer(state, 0)
    update.transfers[0].version = 'v3'
    update.base_versions = {'forms': 'v1'}
    update.rolled_back = {'forms': ['v2']}
    assert not await _shares(update, 'v2')
    assert await _shares(update, 'v2', 'v4') == {'v4': 1000}


async def test_unordered_version_gets_no_calls_of_a_transfer() -> None:
    """Guards against calls to targets that are started before their version
    is ordered, during the transfer of another one.
    """
    update = _transfer('running', 0.2)
    counts = await _shares(update, 'v1', 'v2', 'v3')
    assert sorted(counts) == ['v1', 'v2']


async def test_new_version_gets_no_calls_before_transfer() -> None:
    """Guards against calls to targets of a version without a transfer."""
    view = _view(target('1'), target('2', version='v2'))
    update = _transfer('running', 0)
    update.transfers = []
    view.apply_transfers(update)
    rows = eligible_targets(view, 'forms', random.Random(1), Homes())
    assert [row.version for row in rows] == ['v1']


async def test_weights_hold_over_few_calls() -> None:
    """Guards against random deviations from the configured weights."""
    weighted = route(
        'w',
        shares=[
            RouteShare(service='forms', weight=90.0),
            RouteShare(service='stamps', weight=10.0),
            RouteShare(service='nobody', weight=0),
        ],
    )
    chooser = WeightedServiceChooser(random.Random(2))
    counts = Counter(chooser.next_service(weighted) for _ in range(100))
    assert abs(counts['forms'] - 90) <= 1
    assert counts['nobody'] == 0
