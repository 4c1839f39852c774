"""Fakes of the dependencies of the operators' HTTP interface."""

from collections import deque
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from mustardspur_agreement.ports import Committed, ProposalError
from mustardspur_control.local_log import LocalLog
from mustardspur_control.operators_api import NodeInForce, OperatorsContext
from mustardspur_control.store import Store
from mustardspur_core.settings import Peer
from mustardspur_core.state import Target

from tests.control.builders import NOW_S

LEADER_ADDRESS = '127.0.0.1:7001'


class FakeLog(LocalLog):
    """A log that can be made to fail.

    Parameters
    ----------
    store : Store
        The store that applies the entries.
    """

    __slots__ = ('failure', 'lost_answers')

    def __init__(self, store: Store) -> None:
        """Initialise a log of instance c1 without failures."""
        super().__init__('c1', store)
        self.failure: ProposalError | None = None
        self.lost_answers = 0

    @property
    def is_leader(self) -> bool:
        """Whether no other instance leads."""
        return self.failure is None or self.failure.kind != 'not_leader'

    @property
    def leader(self) -> str | None:
        """The leader that the failure names, otherwise this instance."""
        return super().leader if self.failure is None else self.failure.leader

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry, fail, or commit it and lose the answer."""
        assert self.is_leader, 'an edit was proposed at a follower'
        if self.failure is not None:
            return Error(self.failure)
        committed = await super().propose(entry)
        if not self.lost_answers:
            return committed
        self.lost_answers -= 1
        return Error(failure('unknown'))

    async def assure(self, _: Committed) -> Result[bool, ProposalError]:
        """Answer as a group that has formed."""
        return Ok(True)

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Confirm the index, or fail."""
        if self.failure is not None:
            return Error(self.failure)
        return await super().read_barrier()


class FakeVoters:
    """Voter membership that changes immediately."""

    __slots__ = ('_voters', 'failure', 'is_trusted')

    def __init__(self) -> None:
        """Initialise three voters."""
        self._voters = {'c1', 'c2', 'c3'}
        self.failure: ProposalError | None = None
        self.is_trusted = True

    @property
    def voters(self) -> list[str]:
        """Identifiers of the voters, sorted."""
        return sorted(self._voters)

    async def add_voter(self, peer: Peer) -> Result[Committed, ProposalError]:
        """Add a voter, or fail."""
        if self.failure is not None:
            return Error(self.failure)
        self._voters.add(peer.id)
        return Ok(Committed(index=1, term=1, holders=[], answer=None))

    async def remove_voter(
        self,
        peer_id: str,
    ) -> Result[Committed, ProposalError]:
        """Remove a voter, or fail."""
        if self.failure is not None:
            return Error(self.failure)
        self._voters.discard(peer_id)
        return Ok(Committed(index=1, term=1, holders=[], answer=None))


class FakeSources:
    """Nodes, targets, reports, status and clock that a test sets."""

    __slots__ = ('known_targets', 'nodes', 'now_s', 'script')

    def __init__(self) -> None:
        """Initialise without nodes, targets and scripted actions."""
        self.nodes: list[NodeInForce] = []
        self.known_targets: list[Target] = []
        self.now_s = NOW_S
        self.script: deque[Callable[[], object]] = deque()

    def in_force(self, service: str) -> list[NodeInForce]:
        """Return the nodes, whatever the service."""
        return list(self.nodes)

    def targets(self) -> list[Target]:
        """Return the targets."""
        return list(self.known_targets)

    def report(self, move: str) -> dict[str, Any]:
        """Return no evidence, after the next action of the script has run."""
        if self.script:
            self.script.popleft()()
        return {'evidence': []}

    def status(self) -> dict[str, Any]:
        """Return the identifier and the number of nodes."""
        return {'id': 'c1', 'connected_nodes': len(self.nodes)}


def failure(kind: str, leader: str | None = 'c2') -> ProposalError:
    """Return an error of the log."""
    return ProposalError(kind=kind, detail=f'test {kind}', leader=leader)


def context_of(store: Store, sources: FakeSources) -> OperatorsContext:
    """Return a context over fakes, with `FakeLog` as its log."""
    return OperatorsContext(
        log=FakeLog(store),
        membership=FakeVoters(),
        store=store,
        nodes=sources,
        targets=sources,
        moves=sources,
        status=sources,
        http_addresses={'c1': '127.0.0.1:7000', 'c2': LEADER_ADDRESS},
        clock=lambda: sources.now_s,
    )
