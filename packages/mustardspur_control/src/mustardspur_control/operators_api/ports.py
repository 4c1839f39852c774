"""Interfaces that the operators' HTTP interface depends on."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from expression import Result
from mustardspur_agreement.ports import (
    Committed,
    CommittedLog,
    ProposalError,
)
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer
from mustardspur_core.state import Target

from mustardspur_control.store import Store


class NodeInForce(Record):
    """Index of the configuration that a node has in force for a service.

    Parameters
    ----------
    index : int
        Index in force, 0 for none.
    pending_index : int
        Newest index that it received; equal to `index` if none is pending.
    reason : str
        Why the newest index is not in force, empty if it is.
    """

    __slots__ = ('node', 'data_centre', 'index', 'pending_index', 'reason')
    node: str
    data_centre: str
    index: int
    pending_index: int
    reason: str


class NodesInForce(Protocol):
    """Source of the nodes' reports that this instance has received."""

    def in_force(self, service: str) -> list[NodeInForce]:
        """Return one entry for each node that needs a service."""


class TargetsSource(Protocol):
    """Source of the targets that this instance knows."""

    def targets(self) -> list[Target]:
        """Return the targets of all services."""


class MoveReports(Protocol):
    """Source of reports on moves beyond their records in the store."""

    def report(self, move: str) -> dict[str, Any]:
        """Return JSON values, such as the share by data centre and evidence."""


class StatusSource(Protocol):
    """Source of the state of this instance beyond its log and store."""

    def status(self) -> dict[str, Any]:
        """Return JSON values: identifier, connected nodes, counters."""


class VoterMembership(Protocol):
    """The voters of the replicated log."""

    @property
    def voters(self) -> list[str]:
        """Identifiers of the voters, sorted."""

    @property
    def is_trusted(self) -> bool:
        """Whether this instance may vote; False from damage until refill."""

    async def add_voter(self, peer: Peer) -> Result[Committed, ProposalError]:
        """Add a voter once it has caught up with the log; leader only."""

    async def remove_voter(
        self,
        peer_id: str,
    ) -> Result[Committed, ProposalError]:
        """Remove a voter; leader only."""


class OperatorsContext(Record):
    """Dependencies of the handlers of the operators' interface.

    Parameters
    ----------
    log : CommittedLog
        The replicated log.
    membership : VoterMembership
        The voters of the log.
    store : Store
        The applied state.
    nodes, targets, moves, status : protocols
        Sources of node reports, targets, move reports and status.
    http_addresses : mapping of str
        Address of the operators' interface by identifier of instance.
    clock : callable
        Returns the wall clock in seconds.
    """

    __slots__ = (
        'log',
        'membership',
        'store',
        'nodes',
        'targets',
        'moves',
        'status',
        'http_addresses',
        'clock',
    )
    log: CommittedLog
    membership: VoterMembership
    store: Store
    nodes: NodesInForce
    targets: TargetsSource
    moves: MoveReports
    status: StatusSource
    http_addresses: Mapping[str, str]
    clock: Callable[[], float]
