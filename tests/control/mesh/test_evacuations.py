"""Tests of orders to evacuate and to readmit data centres."""

import asyncio
import json
from typing import Any, Final

import msgpack
from mustardspur_control.mesh.http_api import MeshApi
from mustardspur_control.mesh.registry import LOCAL_SOURCE
from mustardspur_control.mesh.store import MeshStore
from mustardspur_core.mesh.entries import EvacuateDataCentre
from mustardspur_core.wire import encode_frame

from tests.control.mesh.evacuation_orders import OrderedControl, order
from tests.control.operators_api.fakes import LEADER_ADDRESS, failure
from tests.core.mesh.builders import target

_PATH: Final = '/v1/evacuations'


async def _put(control: OrderedControl, name: str) -> tuple[int, Any]:
    app = MeshApi(control.operations, control.evacuations).app()
    status, text = await order(app, 'PUT', f'{_PATH}/{name}')
    return status, json.loads(text)


async def test_orders_and_reads() -> None:
    """Guards against an evacuation that cannot be seen, repeated or ended."""
    control = OrderedControl('split-b', 'split-a', 'split-c')
    ordered = ('split-b', 'split-a', 'split-b')
    answers = await asyncio.gather(*(_put(control, name) for name in ordered))
    assert {status for status, _ in answers} == {200}
    app = MeshApi(control.operations, control.evacuations).app()
    _, text = await order(app, 'GET', _PATH)
    expected = {'evacuated': ['split-a', 'split-b'], 'left': ['split-c']}
    assert json.loads(text) == expected
    ended = await asyncio.gather(*map(control.evacuations.readmit, ordered))
    assert {each.ok.status for each in ended} == {'accepted'}
    assert not control.store.state.evacuated


async def test_unknown_data_centre_is_named() -> None:
    """Guards against an evacuation of a misspelt name that has no effect.

    Without names in the settings, those of live processes are known, and an
    evacuated data centre stays known when its last process is gone.
    """
    stated = OrderedControl('split-a', 'split-b')
    status, body = await _put(stated, 'split-x')
    assert status == 404
    assert body['findings'][0]['found'] == 'split-x'
    observed = OrderedControl()
    assert (await _put(observed, 'split-a'))[0] == 404
    observed.registry.put(LOCAL_SOURCE, target('1', data_centre='split-a'))
    assert (await _put(observed, 'split-a'))[0] == 200
    observed.registry.remove(LOCAL_SOURCE, target('1').node)
    app = MeshApi(observed.operations, observed.evacuations).app()
    status, _ = await order(app, 'DELETE', f'{_PATH}/split-a')
    assert status == 200
    assert not observed.store.state.evacuated


async def test_last_data_centre_is_kept() -> None:
    """Guards against a mesh without any target, also by two orders that are
    checked before either of them is applied.
    """
    control = OrderedControl('split-a', 'split-b')
    await _put(control, 'split-a')
    status, body = await _put(control, 'split-b')
    assert status == 409
    assert body['left'] == []
    assert body['evacuated'] == ['split-a']
    store = MeshStore()
    known = ['split-a', 'split-b']
    answers = [
        store.apply(
            index,
            encode_frame(EvacuateDataCentre(data_centre=name, known=known)),
        ).status
        for index, name in enumerate(known, 1)
    ]
    assert answers == ['accepted', 'conflict']


async def test_order_is_sent_again_after_leader_loss() -> None:
    """Guards against an order that was stored but not acknowledged and is
    then refused by the next leader, and against an order that an instance
    without the lead takes or answers as unknown.
    """
    control = OrderedControl('split-a', 'split-b')
    control.log.lost_answers = 1
    status, body = await _put(control, 'split-a')
    assert (status, body['leader']) == (503, None)
    follower = OrderedControl('split-b')
    follower.log.failure = failure('not_leader')
    status, body = await _put(follower, 'split-a')
    assert (status, body['leader']) == (503, LEADER_ADDRESS)
    successor = OrderedControl('split-a', 'split-b')
    successor.store.restore(1, control.store.snapshot())
    assert (await _put(successor, 'split-a'))[0] == 200
    assert successor.store.state.evacuated == ['split-a']


def test_snapshot_without_evacuations_keeps_its_bytes() -> None:
    """Guards against a build that cannot read earlier snapshots, or whose
    snapshots earlier builds cannot read although nothing is evacuated.
    """
    store = MeshStore()
    earlier = store.snapshot()
    assert msgpack.unpackb(earlier) == [0, 0, 0, b'', b'', {}, {}, {}, {}]
    known = ['split-a', 'split-b']
    entry = EvacuateDataCentre(data_centre='split-a', known=known)
    store.apply(1, encode_frame(entry))
    restored = MeshStore()
    restored.restore(1, store.snapshot())
    assert restored.state.evacuated == ['split-a']
    restored.restore(0, earlier)
    assert not restored.state.evacuated
