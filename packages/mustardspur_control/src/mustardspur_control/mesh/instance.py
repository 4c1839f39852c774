"""A control instance of a mesh put together from its parts."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from mustardspur_agreement import PeerGreeting, running_log
from mustardspur_core.mesh.control_messages import (
    ControlHello,
    MeshHello,
)
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.timeline import Timeline

from mustardspur_control.control_stream import ControlStreams
from mustardspur_control.mesh.formation import formed_settings
from mustardspur_control.mesh.machines import MeshMachine
from mustardspur_control.mesh.operations import MeshOperations
from mustardspur_control.mesh.parts import MeshParts
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.serving import serving_streams
from mustardspur_control.store import Store


class MeshControl:
    """The parts of a running instance that an interface needs.

    Parameters
    ----------
    operations : MeshOperations
        What operators can ask.
    mesh : MeshSettings
        What can change while the instance runs.
    """

    __slots__ = ('_mesh', 'operations')

    def __init__(
        self,
        operations: MeshOperations,
        mesh: MeshSettings,
    ) -> None:
        """Keep both."""
        self.operations = operations
        self._mesh = mesh

    def take_settings(self, settings: Settings) -> None:
        """Take over the settings that can change while it runs."""
        if settings.mesh is not None:
            self._mesh.seeds = settings.mesh.seeds


@asynccontextmanager
async def running_mesh_control(
    settings: Settings,
    mesh: MeshSettings,
    timeline: Timeline,
    metrics: Metrics,
) -> AsyncIterator[MeshControl]:
    """Run a control instance of a mesh for the length of a block.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    mesh : MeshSettings
        Their part for a mesh.
    timeline : Timeline
        Receives the events.
    metrics : Metrics
        Receives the metrics.

    Raises
    ------
    OSError
        If an address cannot be listened on or the data folder not used.
    """
    settings = formed_settings(settings, mesh)
    store = MeshStore()
    machine = MeshMachine(Store(), store)
    async with AsyncExitStack() as stack:
        log = await stack.enter_async_context(
            running_log(settings, machine, timeline, metrics),
        )
        parts = MeshParts(settings, mesh, log, store)
        streams = ControlStreams(settings, timeline, metrics)
        streams.add(PeerGreeting, log.serve)
        streams.add(ControlHello, parts.exchange.serve)
        streams.add(MeshHello, parts.feeds.serve)
        await stack.enter_async_context(serving_streams(settings, streams))
        await stack.enter_async_context(parts.running())
        yield MeshControl(MeshOperations(log, store), mesh)
