"""Node of a mesh, composed of its servers, links and state."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from mustardspur_core.garbage_collection import tune_garbage_collector
from mustardspur_core.http_serving import StopListening
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import background, run_periodically, supervised

from mustardspur_node.mesh.caller_server import CallerServer
from mustardspur_node.mesh.control_link import MeshControlLink
from mustardspur_node.mesh.draining import CHECK_INTERVAL_S, Drain
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.reports import (
    ReportStore,
    TargetReport,
    find_foreign_field,
)
from mustardspur_node.mesh.stop_times import LoopGaps, StopTimes
from mustardspur_node.mesh.target_supervision import TargetSupervision
from mustardspur_node.mesh.view import MeshView


class MeshNode:
    """Components and operations of a running node.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    mesh : MeshSettings
        Mesh section of the settings.
    names : HeaderNames
        Names of the headers.
    metrics : Metrics
        Receives the metrics.

    Attributes
    ----------
    stops_listening : list of callable
        Called once a planned stop accepts no connections any more.
    """

    __slots__ = (
        '_gaps',
        '_mesh',
        '_metrics',
        '_stopping',
        'callers',
        'link',
        'local',
        'peers',
        'placer',
        'reports',
        'settings',
        'stops_listening',
        'supervision',
        'view',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        names: HeaderNames,
        metrics: Metrics,
    ) -> None:
        """Initialise the components without connections."""
        self.settings = settings
        self._mesh = mesh
        self._metrics = metrics
        self._stopping = False
        self.stops_listening: list[StopListening] = []
        self._gaps = LoopGaps()
        self.view = MeshView()
        self.reports = ReportStore(mesh.target_address or settings.listen.http)
        self.local = LocalTarget(self.reports, names, mesh.balancing)
        link = self.local.admission.link
        link.bodies.resize(mesh.memory_mb)
        link.set_bandwidth(mesh.link_mbps)
        self.local.runs.silence.after_s = mesh.silent_target_s
        self.supervision = TargetSupervision(
            settings.data_centre,
            self.local,
            self.view,
        )
        self.peers = PeerServer(self.local)
        self.placer = Placer(settings, mesh, self.view, self.local, metrics)
        self.callers = CallerServer(
            self.view,
            self.placer,
            names,
            metrics,
            mesh,
        )
        self._update_origin()
        self.link = MeshControlLink(
            settings,
            mesh,
            self.view,
            self.local,
            self.placer.chooser,
            self.callers.allowances,
        )
        self.reports.on_change(self._apply_target_change)
        self.reports.cold.on_turned_cold = self.link.announcement_changed.set

    @property
    def ready(self) -> bool:
        """Whether the node accepts callers."""
        return not self._stopping and self.view.routes is not None

    def accept_report(self, report: TargetReport) -> str:
        """Accept a report of the local target.

        Returns
        -------
        str
            Why the report is of another target, empty if it is not.
        """
        foreign = find_foreign_field(report, self.settings)
        if not foreign:
            self.reports.accept(report)
        return foreign

    def remove_target(self, target_id: str) -> None:
        """Remove a target that shuts down."""
        self.reports.remove(target_id)

    def apply_settings(self, settings: Settings) -> None:
        """Apply the settings that can change while the node runs."""
        if settings.mesh is not None:
            self._mesh.seeds = settings.mesh.seeds
            self._mesh.target_address = settings.mesh.target_address
        self.settings.service = settings.service
        self.reports.remove_foreign(self.settings)
        self._update_origin()

    async def drain(self) -> None:
        """End the use of the node within the grace time, see `Drain.run`."""
        times = StopTimes(self._mesh.grace_s, self._gaps.earliest_arrival_s())
        self._stopping = True
        self.link.announcement.draining = True
        self.link.announcement_changed.set()
        drain = Drain(
            self.callers,
            self.peers,
            self.local,
            self.placer,
            self.stops_listening,
        )
        await drain.run(times)

    async def run_checks(self) -> None:
        """Run the periodic checks until cancelled."""
        await run_periodically(CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """Close silent and idle connections, discard old data, set gauges."""
        if self._gaps.record():
            self.placer.links.restart_silences()
        self.placer.links.check()
        self.local.apply_rule()
        self.local.pool.prune()
        self.callers.discard_route_values()
        self.view.discard_retained()
        self.callers.allowances.check()
        self._set_gauges()
        self.local.runs.set_gauges(self._metrics)

    def _set_gauges(self) -> None:
        self.local.admission.link.check(self._metrics)
        load = self.local.admission.load
        capacity = self.local.admission.capacity
        self._metrics.gauge('target.admitted', capacity.started)
        # 0 without a limit; a target that accepts calls states more.
        limit_per_s = capacity.rate_limit.per_s or 0
        self._metrics.gauge('target.rate_limit_per_s', limit_per_s)
        self._metrics.gauge('target.running', load.running)
        self._metrics.gauge('target.waiting', load.waiting)
        self._metrics.gauge('target.slots', load.slots)
        self._metrics.gauge('target.run_ms', load.run_ms)
        self.supervision.set_gauges(self._metrics)
        self._metrics.gauge('target.idle', capacity.slots - capacity.running)
        self._metrics.gauge('target.refused', self.local.refused)
        self.placer.retries.set_gauges(self._metrics)
        slow_factor = self.local.admission.run_times.slow_factor
        self._metrics.gauge('target.slow_factor', round(slow_factor, 2))
        self._metrics.gauge('table.index', self.view.table_index)
        self._metrics.gauge('callers.in_flight', self.callers.in_flight)

    def _update_origin(self) -> None:
        """Update the service that forwarded calls state as their origin.

        It is the one of the settings, since the last report may be of a target
        whose address has gone to another service.
        """
        self.callers.set_origin(self.settings.service or '')

    def _apply_target_change(self) -> None:
        self.local.refresh()
        self.link.announcement_changed.set()


@asynccontextmanager
async def running_mesh_node(
    settings: Settings,
    mesh: MeshSettings,
    names: HeaderNames,
    metrics: Metrics,
) -> AsyncIterator[MeshNode]:
    """Run a node of a mesh while the context is active.

    Explanation
    ===========

    The caller awaits `MeshNode.drain` before leaving the context, while the
    readiness of the node is still served.

    Raises
    ------
    OSError
        If listening on an address fails.
    """
    node = MeshNode(settings, mesh, names, metrics)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            node.peers.serving(settings.listen.stream or ''),
        )
        await stack.enter_async_context(
            background(
                supervised('control link', node.link.run),
                supervised('checks', node.run_checks),
                supervised('target supervision', node.supervision.run),
            ),
        )
        await stack.enter_async_context(
            node.callers.serving(settings.listen.http),
        )
        tune_garbage_collector()
        yield node
        node.placer.links.close()
