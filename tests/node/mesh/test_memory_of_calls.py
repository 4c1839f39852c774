"""Tests of what is held of calls that have ended."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Final

import pytest
from mustardspur_core.mesh.control_messages import (
    BlockedCall,
    MeshBlocks,
    MeshTargets,
)
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.calls import MeshCall, UnansweredCall
from mustardspur_node.mesh.fingerprints import call_fingerprint
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, target
from tests.node.mesh.builders import local_target, mesh_call, node_settings


_PATH: Final = '/drafts/refused'


@contextmanager
def _without_collections() -> Iterator[None]:
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _placer() -> Placer:
    """Return a placer with one target, which is told to refuse the call."""
    settings = node_settings()
    assert isinstance(settings.mesh, MeshSettings)
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
    )
    call = mesh_call(path=_PATH)
    fingerprint = call_fingerprint(
        HEADER_NAMES, call.method, call.path, call.headers, call.body
    )
    blocked = BlockedCall(fingerprint=fingerprint, left_s=60)
    local = local_target('127.0.0.1:9')
    local.blocked.apply(MeshBlocks(blocked=[blocked], lifted_index=0))
    return Placer(settings, settings.mesh, view, local, NullMetrics())


def _held_calls() -> list[object]:
    """Return the calls of this test that exist."""
    tracked = gc.get_objects()
    calls = [each for each in tracked if isinstance(each, MeshCall)]
    return [each for each in calls if each.path == _PATH]


async def test_refused_call_is_forgotten_at_its_end() -> None:
    """Guards against a node that holds the bodies of refused calls until a
    collection of garbage, since their faults refer to them in tracebacks.
    """
    placer = _placer()
    patient = route('drafts', objective_ms=1000.0)
    with _without_collections():
        with suppress(UnansweredCall):
            await placer.place(mesh_call(path=_PATH, route=patient))
            pytest.fail('the call is not refused')
        assert not _held_calls()
