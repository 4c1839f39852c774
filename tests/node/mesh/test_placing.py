"""Tests of the path of a call from its caller's node."""

import asyncio
from http import HTTPStatus
from typing import Final

import pytest
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.calls import Placement
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.retry_after import (
    BUSY_RETRY_AFTER_S,
    SOON_PART,
    UNKNOWN_RETRY_AFTER_S,
)
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import target
from tests.node.mesh.builders import local_target, mesh_call, node_settings
from tests.support.virtual_time import in_virtual_time

FULL_LOAD: Final = TargetLoad(
    running=4,
    waiting=40,
    slots=4,
    run_ms=60.0,
    failure_rate=0,
    open=True,
)


def _placer(view: MeshView) -> Placer:
    settings = node_settings()
    assert isinstance(settings.mesh, MeshSettings)
    local = local_target('127.0.0.1:9')
    return Placer(settings, settings.mesh, view, local, NullMetrics())


@in_virtual_time
async def test_caller_comes_back_once_targets_may_be_known() -> None:
    """Guards against callers that use up their retries during a restart."""
    with pytest.raises(Placement) as refusal:
        await _placer(MeshView()).place(mesh_call())
    assert refusal.value.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert refusal.value.retry_after_s == UNKNOWN_RETRY_AFTER_S


def _full_view() -> MeshView:
    """Return the view of a node that knows one target."""
    view = MeshView()
    view.take_targets(
        MeshTargets(full=True, upserts=[target('1')], removed=[]),
    )
    return view


@pytest.mark.parametrize(
    ('in_time_s', 'after_s'),
    [
        (0.28, 0.3 * SOON_PART),
        (0.05, BUSY_RETRY_AFTER_S),
        (0.9, BUSY_RETRY_AFTER_S),
    ],
)
@in_virtual_time
async def test_refused_caller_comes_back_in_time(
    in_time_s: float,
    after_s: float,
) -> None:
    """Guards against a second attempt that is late before it begins."""
    placer = _placer(_full_view())
    placer.chooser.note_load('127.0.0.1:1', FULL_LOAD)
    call = mesh_call(useful_s=asyncio.get_running_loop().time() + in_time_s)
    with pytest.raises(Placement, match='busy') as refusal:
        await placer.place(call)
    assert refusal.value.retry_after_s == pytest.approx(after_s)
