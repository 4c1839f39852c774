"""Assembly of a running control instance of a mesh."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from mustardspur_agreement import PeerGreeting, running_log
from mustardspur_core.mesh.control_messages import (
    ControlHello,
    MeshAttach,
    MeshHello,
    MeshSubscribe,
)
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.timeline import Timeline

from mustardspur_control.control_stream import ControlStreams, serving_streams
from mustardspur_control.mesh.allowances import AllowanceBroker
from mustardspur_control.mesh.blocks import BlockOperations
from mustardspur_control.mesh.components import MeshComponents
from mustardspur_control.mesh.evacuations import (
    EvacuationOperations,
    EvacuationReporter,
    KnownDataCentres,
)
from mustardspur_control.mesh.formation import (
    remembers_first_start,
    settings_with_first_voters,
)
from mustardspur_control.mesh.log_access import LogAccess
from mustardspur_control.mesh.operations import MeshOperations
from mustardspur_control.mesh.state_machine import MeshStateMachine
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.store import Store


class MeshControl:
    """Handle of a running control instance.

    Parameters
    ----------
    operations : MeshOperations
        Operations for operators on the table and on transfers.
    evacuations : EvacuationOperations
        Operations for operators on evacuations.
    mesh : MeshSettings
        Settings of the mesh, updated when settings are reloaded.
    allowances : AllowanceBroker
        Broker of the limits shared by all nodes.
    blocks : BlockOperations
        Operations for operators on blocked calls.
    """

    __slots__ = ('_mesh', 'allowances', 'blocks', 'evacuations', 'operations')

    def __init__(
        self,
        operations: MeshOperations,
        evacuations: EvacuationOperations,
        mesh: MeshSettings,
        allowances: AllowanceBroker,
        blocks: BlockOperations,
    ) -> None:
        """Initialise the handle."""
        self.blocks = blocks
        self.allowances = allowances
        self.operations = operations
        self.evacuations = evacuations
        self._mesh = mesh

    def apply_settings(self, settings: Settings) -> None:
        """Apply the settings that can change at run time: the seeds."""
        if settings.mesh is not None:
            self._mesh.seeds = settings.mesh.seeds


@asynccontextmanager
async def running_mesh_control(
    settings: Settings,
    mesh: MeshSettings,
    timeline: Timeline,
    metrics: Metrics,
) -> AsyncIterator[MeshControl]:
    """Run a control instance of a mesh until the block ends.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    mesh : MeshSettings
        The ``mesh`` section of the settings.
    timeline : Timeline
        Receives the events.
    metrics : Metrics
        Receives the metrics.

    Raises
    ------
    OSError
        If an address cannot be bound or the data folder cannot be used.
    """
    settings = settings_with_first_voters(settings, mesh)
    store = MeshStore()
    EvacuationReporter(store, metrics)
    machine = MeshStateMachine(Store(), store)
    async with AsyncExitStack() as stack:
        log = await stack.enter_async_context(
            running_log(
                settings,
                machine,
                timeline,
                metrics,
                remembers_first_start=remembers_first_start(settings),
            ),
        )
        components = MeshComponents(settings, mesh, log, store)
        streams = ControlStreams(settings, timeline, metrics)
        streams.add(PeerGreeting, log.serve)
        streams.add(ControlHello, components.exchange.serve)
        streams.add(MeshHello, components.feeds.serve)
        streams.add(MeshAttach, components.feeds.serve)
        streams.add(MeshSubscribe, components.feeds.serve)
        await stack.enter_async_context(serving_streams(settings, streams))
        await stack.enter_async_context(components.running())
        access = LogAccess(log)
        known = KnownDataCentres(mesh, components.registry, components.members)
        yield MeshControl(
            MeshOperations(access, store),
            EvacuationOperations(access, store, known),
            mesh,
            components.allowances,
            BlockOperations(access, store, components.exchange.crashes),
        )
