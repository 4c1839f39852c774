"""Tests of a mesh node as a whole, without connections."""

from typing import Any

import pytest
import pytest_asyncio
from mustardspur_core.exposition import MetricsRegistry
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import replaced
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_node.mesh.instance import MeshNode
from mustardspur_node.mesh.names import HEADER_NAMES

from tests.node.mesh.builders import node_settings, target_report

_REPORT = target_report(address='127.0.0.1:1')


@pytest_asyncio.fixture(name='node')
async def make_node() -> MeshNode:
    """Return a node whose target of ``forms`` has reported."""
    settings = node_settings()
    assert settings.mesh is not None
    settings.mesh.target_address = _REPORT.address
    node = MeshNode(settings, settings.mesh, HEADER_NAMES, NullMetrics())
    assert not node.accept_report(_REPORT)
    return node


@pytest.mark.parametrize(
    'field',
    [
        {'service': 'nobody'},
        {'service': 'stamps'},
        {'data_centre': 'zadar-a'},
        {'address': '127.0.0.1:9'},
    ],
)
async def test_foreign_report_does_not_replace_the_target(
    node: MeshNode,
    field: dict[str, Any],
) -> None:
    """Guards against a report of another service that takes the place of the
    local target and is stated as the origin of its callers.
    """
    foreign = replaced(_REPORT, id='t2', born=2000, sequence=1, **field)
    reason = node.accept_report(foreign)
    assert node.reports.current == _REPORT
    assert node.callers.origin_service == 'forms'
    assert reason.startswith(next(iter(field)))
    assert not node.accept_report(replaced(_REPORT, sequence=5))
    assert node.reports.current == replaced(_REPORT, sequence=5)


async def test_reused_address_states_the_new_service(
    node: MeshNode,
) -> None:
    """Guards against calls under the service of a crashed target whose
    address has gone to another service.
    """
    changed = node_settings()
    changed.service = 'stamps'
    assert changed.mesh is not None
    changed.mesh.target_address = '127.0.0.1:9'
    node.apply_settings(changed)
    assert node.callers.origin_service == 'stamps'
    assert node.reports.current is None
    assert node.accept_report(replaced(_REPORT, sequence=5))
    successor = {'service': 'stamps', 'address': '127.0.0.1:9', 'born': 2000}
    assert not node.accept_report(replaced(_REPORT, id='t2', **successor))
    assert node.reports.current is not None


async def test_corrected_settings_take_the_target_back(node: MeshNode) -> None:
    """Guards against a target that stays ignored until it restarts, after the
    settings named another service for a while.
    """
    changed = node_settings()
    changed.service = 'stamps'
    node.apply_settings(changed)
    corrected = node_settings()
    assert corrected.mesh is not None
    corrected.mesh.target_address = _REPORT.address
    node.apply_settings(corrected)
    assert not node.accept_report(replaced(_REPORT, sequence=5))
    assert node.reports.current == replaced(_REPORT, sequence=5)


async def test_answers_and_memory_are_metrics(node: MeshNode) -> None:
    """Guards against an end for memory that no figure explains."""
    registry = MetricsRegistry()
    node.placer.link.bodies.answers.hold(1000)
    node.placer.link.bodies.set_gauges(registry)
    lines = registry.text().splitlines()
    assert 'mustardspur_answers_held_bytes 1000' in lines
    peak = next(line for line in lines if 'process_peak_bytes ' in line)
    assert int(peak.split()[-1]) > BYTES_PER_MIB
