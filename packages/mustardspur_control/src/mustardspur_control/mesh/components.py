"""Components of a control instance of a mesh that use its log."""

from contextlib import AbstractAsyncContextManager

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.tasks import background, supervised

from mustardspur_control.mesh.allowances import AllowanceBroker
from mustardspur_control.mesh.blocks import follow_lifts
from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.exchange import ControlExchange
from mustardspur_control.mesh.membership import Membership
from mustardspur_control.mesh.node_feed import NodeFeedServer
from mustardspur_control.mesh.registry import MeshRegistry
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.transfers import TransferDriver


class MeshComponents:
    """Membership, exchange, node feeds and transfers on one log and store.

    Parameters
    ----------
    settings : Settings
        Settings of the instance, with the first voters as peers.
    mesh : MeshSettings
        The ``mesh`` section of the settings.
    log : ReplicatedLog
        Log of the instance.
    store : MeshStore
        State that the log is applied to.
    """

    __slots__ = (
        '_driver',
        'allowances',
        'exchange',
        'feeds',
        'members',
        'registry',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        log: ReplicatedLog,
        store: MeshStore,
    ) -> None:
        """Create and connect the components without starting them."""
        self.registry = MeshRegistry()
        evidence = EvidenceAggregator()
        self.members = Membership(settings, mesh, log)
        self.allowances = AllowanceBroker(
            mesh,
            self.members,
            self.registry,
            store,
        )
        self.exchange = ControlExchange(
            settings,
            self.members,
            self.registry,
            evidence,
            self.allowances,
        )
        follow_lifts(store, self.exchange.crashes)
        self.feeds = NodeFeedServer(
            settings,
            log,
            store,
            self.registry,
            self.members,
            self.exchange,
            evidence,
        )
        self._driver = TransferDriver(mesh, log, store, self.registry, evidence)

    def running(self) -> AbstractAsyncContextManager[None]:
        """Return a context manager that runs the components in its block."""
        return background(
            supervised('membership', self.members.run),
            supervised('exchange', self.exchange.run),
            supervised('transfers', self._driver.run),
            supervised('allowances', self.allowances.run),
        )
