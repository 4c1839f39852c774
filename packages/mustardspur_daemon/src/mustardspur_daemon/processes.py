"""The roles of the daemon: control instance and node."""

import logging
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, closing
from pathlib import Path
from typing import Any

from mustardspur_control.instance import running_control
from mustardspur_core.event_loop import stop_event
from mustardspur_core.metrics import connect_metrics
from mustardspur_core.settings import (
    Settings,
    SettingsFile,
    refusing_reloads,
)
from mustardspur_core.timeline import Timeline
from mustardspur_node.instance import running_node

from mustardspur_daemon.mesh_processes import (
    run_mesh_control,
    run_mesh_node,
)
from mustardspur_daemon.roles import role

_LOG = logging.getLogger(__name__)
_Running = Callable[..., AbstractAsyncContextManager[Any]]


@role('control')
async def run_control(settings_file: SettingsFile, settings: Settings) -> None:
    """Run a control instance until a stop signal."""
    if settings.mesh is None:
        await _run(settings, running_control)
    else:
        await run_mesh_control(settings_file, settings, settings.mesh)


@role('node')
async def run_node(settings_file: SettingsFile, settings: Settings) -> None:
    """Run a node until a stop signal."""
    if settings.mesh is None:
        await _run(settings, running_node)
    else:
        await run_mesh_node(settings_file, settings, settings.mesh)


async def _run(settings: Settings, running: _Running) -> None:
    stopped = stop_event()
    with closing(_open_timeline(settings)) as timeline:
        async with (
            running(settings, timeline, connect_metrics(settings)),
            refusing_reloads(),
        ):
            timeline.record('started', role=settings.role)
            _LOG.info('started', extra={'role': settings.role})
            await stopped.wait()
            timeline.record('stopping')
            _LOG.info('stopping')
        timeline.record('stopped')


def _open_timeline(settings: Settings) -> Timeline:
    path = Path(settings.timeline) if settings.timeline else None
    return Timeline(settings.id, settings.data_centre, path)
