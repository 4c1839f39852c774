"""Tests of the path of a call from its caller's node."""

from http import HTTPStatus

import pytest
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.placing import (
    UNKNOWN_RETRY_AFTER_S,
    Placement,
    Placer,
)
from mustardspur_node.mesh.view import MeshView

from tests.node.mesh.builders import local_target, mesh_call, node_settings
from tests.support.virtual_time import in_virtual_time


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
