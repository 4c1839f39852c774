"""A node of a mesh put together from its parts."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import background, every

from mustardspur_node.calls.serving import tune_collector
from mustardspur_node.mesh.caller_server import CallerServer
from mustardspur_node.mesh.control_link import ControlLink
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.reports import ReportBook, TargetReport
from mustardspur_node.mesh.tally import Tally
from mustardspur_node.mesh.view import MeshView

_LOG: Final = logging.getLogger(__name__)

# Callers leave a node that is not ready within two questions, one a second.
LEAVE_S: Final = 2.3
# Kept of the time until the kill, for the end of the process itself.
EXIT_RESERVE_S: Final = 0.8
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
        self._stopping = False
        self.view = MeshView()
        self.book = ReportBook(mesh.target_address or settings.listen.http)
        self.local = LocalTarget(self.book, names, Tally())
        self.peers = PeerServer(self.local)
        self.placer = Placer(settings, mesh, self.view, self.local, metrics)
        self.callers = CallerServer(self.view, self.placer, names, metrics)
        self.callers.origin_service = settings.service or ''
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

    async def drain(self) -> None:
        """Let callers leave and calls end, within the grace time."""
        self._stopping = True
        self.callers.draining = True
        self.link.own_row.leaving = True
        self.link.row_changed.set()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        latest_s = began_s + self._mesh.grace_s - EXIT_RESERVE_S
        while loop.time() < latest_s:
            await asyncio.sleep(CHECK_S)
            busy = self.callers.in_flight + self.peers.running
            if loop.time() - began_s >= LEAVE_S and not busy:
                break
        self.callers.close_idle()
        _LOG.info(
            'drained',
            extra={
                'calls_left': self.callers.in_flight,
                'calls_of_nodes_left': self.peers.running,
                'after_s': round(loop.time() - began_s, 1),
            },
        )
        await asyncio.sleep(CHECK_S)

    def check(self) -> None:
        """Close what is silent or has been idle for too long."""
        self.placer.check_links()
        self.local.prune()

    def _follow_target(self) -> None:
        self.local.refresh()
        report = self.book.current
        if report is not None:
            self.callers.origin_service = report.service
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
            background(node.link.run(), every(CHECK_S, node.check)),
        )
        await stack.enter_async_context(
            node.callers.serving(settings.listen.http),
        )
        tune_collector()
        yield node
        node.placer.close()
