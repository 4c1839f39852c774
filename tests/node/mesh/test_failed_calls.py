"""Tests of what calls leave behind once they have failed."""

import asyncio
import gc
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Final
from unittest.mock import MagicMock

import pytest
from mustardspur_core.mesh.call_messages import CallFailed
from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import NullMetrics
from mustardspur_node.mesh.calls import PlacementFault, UnansweredCall
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import target
from tests.node.mesh.builders import (
    call_open,
    local_target,
    mesh_call,
    node_settings,
)
from tests.node.stand_ins.faulty_node import LOAD, FaultyNode, serving_node
from tests.node.stand_ins.scripted import (
    CLOSE,
    ENDLESS,
    KEEP,
    RESET,
    run_scripted,
)

_CUT: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx'
_BODY_BYTES: Final = 1000


async def _ignore(_: object) -> None:
    """Do nothing when the call may run."""


@contextmanager
def _no_collection() -> Iterator[None]:
    """Run a block without garbage collections, as most calls do."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _placer(address: str, known: MeshTarget) -> Placer:
    settings = node_settings()
    assert settings.mesh is not None
    view = MeshView()
    view.apply_targets(MeshTargets(full=True, upserts=[known], removed=[]))
    local = local_target(address)
    return Placer(settings, settings.mesh, view, local, NullMetrics())


async def _fail_call(placer: Placer, body: bytes) -> None:
    with suppress(UnansweredCall):
        await placer.place(mesh_call(body=body, method='POST'))
    # Lets the connection close.
    await asyncio.sleep(0.01)


@pytest.mark.parametrize('step', [b'no answer\r\n\r\n', b'', _CUT])
async def test_failed_call_releases_its_body(step: bytes) -> None:
    """Guards against calls whose bodies stay in the memory after they have
    failed, until a garbage collection.
    """
    body = bytes(_BODY_BYTES)
    async with run_scripted((step, CLOSE)) as (address, _):
        placer = _placer(address, target('2', id='t1'))
        with _no_collection():
            held = sys.getrefcount(body)
            await _fail_call(placer, body)
            assert sys.getrefcount(body) == held


async def test_call_that_failed_elsewhere_releases_its_body() -> None:
    """Guards against calls whose bodies stay in the memory after they have
    failed at another node, until a garbage collection.
    """
    body = bytes(_BODY_BYTES)
    failed = CallFailed(kind='broken', not_run=False, detail='', load=LOAD)
    async with serving_node(FaultyNode(failed)) as node:
        placer = _placer('127.0.0.1:9', target('2', node=node))
        with _no_collection():
            held = sys.getrefcount(body)
            await _fail_call(placer, body)
            assert sys.getrefcount(body) == held
        placer.links.close()


@pytest.mark.parametrize(
    ('step', 'after', 'gauges'),
    [
        (b'', CLOSE, {'faulty_answers': 0, 'lost_connections': 1}),
        (b'', RESET, {'faulty_answers': 0, 'lost_connections': 1}),
        (_CUT, CLOSE, {'faulty_answers': 0, 'lost_connections': 1}),
        (
            b'no answer\r\n\r\n',
            KEEP,
            {'faulty_answers': 1, 'lost_connections': 0},
        ),
        (b'\r\n', ENDLESS, {'faulty_answers': 1, 'lost_connections': 0}),
    ],
)
async def test_faulty_answers_are_told_from_lost_connections(
    step: bytes,
    after: str,
    gauges: dict[str, int],
) -> None:
    """Guards against a faulty target that looks like one that was lost."""
    metrics = MagicMock(spec=NullMetrics)
    async with run_scripted((step, after)) as (address, _):
        local = local_target(address)
        with pytest.raises(PlacementFault, match='broken'):
            await local.run(call_open(), _ignore)
    local.runs.set_gauges(metrics)
    found = {call.args[0]: call.args[1] for call in metrics.gauge.mock_calls}
    assert found == {f'target.{name}': gauges[name] for name in gauges}
