"""A node of a mesh put together from its parts."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import background, run_periodically

from mustardspur_node.calls.serving import tune_garbage_collector
from mustardspur_node.mesh.caller_server import CallerServer
from mustardspur_node.mesh.confirmation import confirm_target
from mustardspur_node.mesh.control_link import ControlLink
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.reports import ReportBook, TargetReport
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)

# Callers leave a node that is not ready within two questions, one a second.
LEAVE_S: Final = 2.3
# Part of the time until the kill that is kept for the end of the process: two
# processes that kept 0.8 of 6 s were killed on a busy instance. Calls that are
# still open then have had the rest of it.
EXIT_RESERVE_PART: Final = 1 / 6
CHECK_S: Final = 0.2


class MeshNode:
    """The parts of a running node that an interface needs.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    mesh : MeshSettings
        Their part for a mesh.
    names : HeaderNames
        Names of the headers.
    metrics : Metrics
        Receives the metrics.
    """

    __slots__ = (
        '_mesh',
        '_metrics',
        '_stopping',
        'book',
        'callers',
        'link',
        'local',
        'peers',
        'placer',
        'settings',
        'view',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        names: HeaderNames,
        metrics: Metrics,
    ) -> None:
        """Connect to nothing yet."""
        self.settings = settings
        self._mesh = mesh
        self._metrics = metrics
        self._stopping = False
        self.view = MeshView()
        self.book = ReportBook(mesh.target_address or settings.listen.http)
        self.local = LocalTarget(self.book, names)
        self.peers = PeerServer(self.local)
        self.placer = Placer(settings, mesh, self.view, self.local, metrics)
        self.callers = CallerServer(self.view, self.placer, names, metrics)
        self._name_origin()
        self.link = ControlLink(
            settings,
            mesh,
            self.view,
            self.local,
            self.placer.chooser,
        )

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._stopping and self.view.routes is not None

    def take_report(self, report: TargetReport) -> None:
        """Take over what the target beside the node says of itself."""
        if self.book.take(report):
            self._follow_target()

    def drop_target(self, target_id: str) -> None:
        """Let a target go that says that it leaves."""
        if self.book.leave(target_id):
            self._follow_target()

    def apply_settings(self, settings: Settings) -> None:
        """Take over the settings that can change while the node runs."""
        if settings.mesh is not None:
            self._mesh.seeds = settings.mesh.seeds
        self.settings.service = settings.service
        self._name_origin()

    async def drain(self) -> None:
        """Let callers leave and calls end, within the grace time.

        Explanation
        ===========

        Callers that have not noticed yet are still served. Once they have
        had the time to, the node takes no new connections and no calls of
        other nodes, and ends when nothing is open any more.
        """
        self._stopping = True
        self.callers.draining = True
        self.link.own_row.leaving = True
        self.link.row_changed.set()
        began_s = _now()
        await asyncio.sleep(LEAVE_S)
        self.callers.stop_listening()
        self.local.gate.shut()
        latest_s = began_s + self._mesh.grace_s * (1 - EXIT_RESERVE_PART)
        while self._is_busy() and _now() < latest_s:
            await asyncio.sleep(CHECK_S)
        _LOG.info(
            'drained',
            extra={
                'calls_left': self.callers.in_flight,
                'calls_of_nodes_left': self.peers.running,
                'after_s': round(_now() - began_s, 1),
            },
        )

    def check(self) -> None:
        """Close what is silent or has been idle for too long; set gauges."""
        self.placer.check_links()
        self.local.pool.prune()
        self.callers.forget_routes()
        self._set_gauges()

    def _set_gauges(self) -> None:
        load = self.local.gate.load
        self._metrics.gauge('target.running', load.running)
        self._metrics.gauge('target.waiting', load.waiting)
        self._metrics.gauge('target.slots', load.slots)
        self._metrics.gauge('target.run_ms', load.run_ms)
        self._metrics.gauge('table.index', self.view.table_index)
        self._metrics.gauge('callers.in_flight', self.callers.in_flight)

    def _is_busy(self) -> bool:
        self.callers.leave()
        return bool(self.callers.open_connections or self.peers.running)

    def _name_origin(self) -> None:
        """State the service beside the node in the calls from here."""
        report = self.book.current
        stated = report.service if report else self.settings.service
        self.callers.origin_service = stated or ''

    def _follow_target(self) -> None:
        self.local.refresh()
        self._name_origin()
        self.link.row_changed.set()


@asynccontextmanager
async def running_mesh_node(
    settings: Settings,
    mesh: MeshSettings,
    names: HeaderNames,
    metrics: Metrics,
) -> AsyncIterator[MeshNode]:
    """Run a node of a mesh for the length of a block.

    Explanation
    ===========

    The block calls `MeshNode.drain` before it ends, while the interfaces
    that report the readiness of the node are still served.

    Raises
    ------
    OSError
        If an address cannot be listened on.
    """
    node = MeshNode(settings, mesh, names, metrics)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            node.peers.serving(settings.listen.stream or ''),
        )
        await stack.enter_async_context(
            background(
                node.link.run(),
                run_periodically(CHECK_S, node.check),
                confirm_target(node.local, node.view),
            ),
        )
        await stack.enter_async_context(
            node.callers.serving(settings.listen.http),
        )
        tune_garbage_collector()
        yield node
        node.placer.close()


def _now() -> float:
    return asyncio.get_running_loop().time()
