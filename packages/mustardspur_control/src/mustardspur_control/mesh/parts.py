"""The parts of a control instance of a mesh that run beside its log."""

from contextlib import AbstractAsyncContextManager

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import background

from mustardspur_control.mesh.evidence import EvidenceBook
from mustardspur_control.mesh.exchange import Exchange
from mustardspur_control.mesh.members import Members
from mustardspur_control.mesh.node_feed import NodeFeeds
from mustardspur_control.mesh.registry import MeshRegistry
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.transfers import TransferDriver


class MeshParts:
    """Members, exchange, feeds and transfers over one log and store.

    Parameters
    ----------
    settings : Settings
        Settings of the instance, with the first voters as peers.
    mesh : MeshSettings
        Their part for a mesh.
    log : ReplicatedLog
        The instance's copy of the log.
    store : MeshStore
        The state that the log is applied to.
    """

    __slots__ = ('_driver', 'exchange', 'feeds', 'members')

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        log: ReplicatedLog,
        store: MeshStore,
    ) -> None:
        """Connect the parts; nothing runs yet."""
        registry = MeshRegistry()
        evidence = EvidenceBook()
        self.members = Members(settings, mesh, log)
        self.exchange = Exchange(settings, self.members, registry, evidence)
        self.feeds = NodeFeeds(
            settings,
            log,
            store,
            registry,
            self.members,
            self.exchange,
            evidence,
        )
        self._driver = TransferDriver(mesh, log, store, registry, evidence)

    def running(self) -> AbstractAsyncContextManager[None]:
        """Run the parts for the length of a block."""
        return background(
            self.members.run(),
            self.exchange.run(),
            self._driver.run(),
        )
