"""What the operators' interface needs of the rest of an instance."""

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
    """What a node has in force for a service.

    Parameters
    ----------
    index : int
        Index in force, 0 for none.
    pending_index : int
        Newest index that it received; equal to `index` if nothing waits.
    reason : str
        Why the newest is not in force, empty if it is.
    """

    __slots__ = ('node', 'data_centre', 'index', 'pending_index', 'reason')
    node: str
    data_centre: str
    index: int
    pending_index: int
    reason: str


class NodesInForce(Protocol):
    """Reports of the nodes, as far as this instance knows them."""

    def in_force(self, service: str) -> list[NodeInForce]:
        """Return one entry for each node that needs a service."""


class TargetsSource(Protocol):
    """Targets that this instance knows."""

    def targets(self) -> list[Target]:
        """Return the targets of all services."""


class MoveReports(Protocol):
    """What is known of a move beside its record in the store."""

    def report(self, move: str) -> dict[str, Any]:
        """Return JSON values: share by data centre, evidence, and so on."""


class StatusSource(Protocol):
    """State of this instance beside its log and store."""

    def status(self) -> dict[str, Any]:
        """Return JSON values: identifier, connected nodes, counters."""


class VoterMembership(Protocol):
    """The voters of the replicated log."""

    @property
    def voters(self) -> list[str]:
        """Identifiers of the voters, sorted."""

    @property
    def is_trusted(self) -> bool:
        """Whether this instance may vote; False from damage to refill."""

    async def add_voter(self, peer: Peer) -> Result[Committed, ProposalError]:
        """Let an instance catch up and make it a voter; leader only."""

    async def remove_voter(
        self,
        peer_id: str,
    ) -> Result[Committed, ProposalError]:
        """Remove a voter; leader only."""


class OperatorsContext(Record):
    """Everything that the handlers of the operators' interface use.

    Parameters
    ----------
    log : CommittedLog
        The replicated log.
    membership : VoterMembership
        Its voters.
    store : Store
        The applied state.
    nodes, targets, moves, status : protocols
        Sources of what the operators can see.
    http_addresses : mapping of str
        Address of the operators' interface by control instance.
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
