"""Control instances and nodes of a mesh with the built-in HTTP interfaces."""

import logging
from contextlib import closing
from pathlib import Path

from aiohttp import web
from mustardspur_control.mesh import MeshControl, running_mesh_control
from mustardspur_control.mesh.allowance_api import AllowanceApi
from mustardspur_control.mesh.blocks_api import BlocksApi
from mustardspur_control.mesh.http_api import MeshApi
from mustardspur_core.event_loop import stop_event
from mustardspur_core.exposition import MetricsRegistry, serving_metrics
from mustardspur_core.http_bodies import LargeBodies
from mustardspur_core.http_serving import serving_app
from mustardspur_core.settings import (
    MeshSettings,
    Settings,
    SettingsFile,
    watching_settings,
)
from mustardspur_core.timeline import Timeline
from mustardspur_node.mesh import HEADER_NAMES, running_mesh_node
from mustardspur_node.mesh.http_api import NodeApi

_LOG = logging.getLogger(__name__)


async def run_mesh_control(
    settings_file: SettingsFile,
    settings: Settings,
    mesh: MeshSettings,
) -> None:
    """Run a control instance of a mesh until a stop signal."""
    stopped = stop_event()
    metrics = MetricsRegistry()
    path = Path(settings.timeline) if settings.timeline else None
    timeline = Timeline(settings.id, settings.data_centre, path)
    with closing(timeline):
        async with (
            running_mesh_control(settings, mesh, timeline, metrics) as control,
            serving_app(_control_app(control, mesh), settings.listen.http),
            serving_metrics(settings.listen.metrics, metrics),
            watching_settings(settings_file, control.apply_settings),
        ):
            _LOG.info('started', extra={'role': settings.role})
            await stopped.wait()
            _LOG.info('stopping')


def _control_app(control: MeshControl, mesh: MeshSettings) -> web.Application:
    app = MeshApi(
        control.operations,
        control.evacuations,
        LargeBodies(mesh.memory_mb, mesh.max_table_bytes),
    ).app()
    AllowanceApi(control.allowances).add_to(app)
    return BlocksApi(control.blocks).add_to(app)


async def run_mesh_node(
    settings_file: SettingsFile,
    settings: Settings,
    mesh: MeshSettings,
) -> None:
    """Run a node of a mesh until a stop signal."""
    stopped = stop_event()
    metrics = MetricsRegistry()
    async with running_mesh_node(settings, mesh, HEADER_NAMES, metrics) as node:
        api = NodeApi(node)
        async with (
            serving_app(api.targets_app(), settings.listen.targets) as targets,
            serving_metrics(settings.listen.metrics, metrics) as exposition,
            # Started last, so that a ready node answers on all addresses.
            serving_app(api.ready_app(), settings.listen.ready) as ready,
            watching_settings(settings_file, node.apply_settings),
        ):
            node.stops_listening.extend((targets, exposition, ready))
            _LOG.info('started', extra={'role': settings.role})
            await stopped.wait()
            _LOG.info('stopping')
            await node.drain()
