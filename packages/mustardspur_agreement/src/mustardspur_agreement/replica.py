"""State of the local replica, shared by the tasks of the log."""

import asyncio

from expression import Error
from mustardspur_core.settings import Peer

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.ballot_rules import after_term
from mustardspur_agreement.contact import Contact
from mustardspur_agreement.context import Context
from mustardspur_agreement.entries import Entry
from mustardspur_agreement.journal import Journal
from mustardspur_agreement.leadership import Leadership
from mustardspur_agreement.membership import Membership, voters_at
from mustardspur_agreement.ports import ProposalError
from mustardspur_agreement.signal import Signal
from mustardspur_agreement.snapshots import Snapshot


class Replica:
    """The local replica of the log.

    Explanation
    ===========

    The caller of a method that changes the ballot or the entries must hold
    `lock`. Every change of state notifies `changed`.

    Parameters
    ----------
    context : Context
        Settings, state machine, time line, metrics and environment.
    journal : Journal
        Durable state: ballot and entries.
    commit_index : int
        Highest index known to be committed.
    """

    __slots__ = (
        'applied_index',
        'changed',
        'commit_index',
        'contact',
        'context',
        'entries',
        'journal',
        'leader',
        'leadership',
        'lock',
        'unanimous_term',
    )

    def __init__(
        self,
        context: Context,
        journal: Journal,
        commit_index: int,
    ) -> None:
        """Initialise the state and restore the machine from the snapshot."""
        self.context = context
        self.journal = journal
        self.entries = journal.entries
        self.commit_index = commit_index
        self.applied_index = self.entries.snapshot_index
        self.leader: str | None = None
        self.leadership: Leadership | None = None
        self.contact = Contact()
        # The newest term in which this instance, although it is not trusted,
        # gave its vote to a candidate that needs the votes of all voters.
        self.unanimous_term = 0
        self.lock = asyncio.Lock()
        self.changed = Signal()
        snapshot = self.entries.snapshot
        if snapshot is not None:
            context.machine.restore(snapshot.index, snapshot.content)

    @property
    def own_id(self) -> str:
        """Identifier of this instance."""
        return self.context.settings.id

    @property
    def election_s(self) -> float:
        """Minimum election timeout in seconds."""
        return self.context.settings.intervals.election_s

    @property
    def ballot(self) -> Ballot:
        """Term, vote and trust."""
        return self.journal.ballot

    @property
    def membership(self) -> Membership:
        """The voters as of the last entry, committed or not."""
        return self.journal.membership

    @property
    def is_voter(self) -> bool:
        """Whether the current membership includes this instance."""
        return self.own_id in self.membership.voters_by_id

    async def record_ballot(self, ballot: Ballot) -> None:
        """Make term, vote and trust durable; a higher term ends leadership.

        Raises
        ------
        OSError
            If a write fails.
        """
        if ballot.term > self.ballot.term:
            self.step_down('a higher term was seen')
            self.leader = None
        becomes_trusted = ballot.trusted and not self.ballot.trusted
        await self.journal.record_ballot(ballot)
        if becomes_trusted:
            self.context.report('vote_counts', term=ballot.term)
        self.changed.notify()

    async def adopt_term(self, term: int) -> None:
        """Record a higher term without a vote; other terms have no effect."""
        if term > self.ballot.term:
            await self.record_ballot(after_term(self.ballot, term))

    async def append(self, entries: list[Entry]) -> None:
        """Append entries durably."""
        await self.journal.append(entries)
        self.changed.notify()

    async def replace_from(self, entries: list[Entry]) -> None:
        """Append entries durably, overwriting conflicting uncommitted ones."""
        await self.journal.replace_from(entries, self.commit_index)
        self.changed.notify()

    async def install(self, snapshot: Snapshot) -> None:
        """Replace the log and the applied state by a snapshot."""
        await self.journal.install(snapshot)
        self.context.machine.restore(snapshot.index, snapshot.content)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.context.report('snapshot_installed', index=snapshot.index)
        self.changed.notify()

    def advance_commit_index(self, index: int) -> None:
        """Raise the commit index; a lower index has no effect."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()

    def step_down(self, reason: str) -> None:
        """End the leadership of this instance and fail its proposals."""
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self.leader = None
        leadership.fail_all(
            Error(self.error('not_leader', reason)),
            Error(self.error('unknown', reason)),
        )
        self.context.report(
            'leader_stepped_down',
            term=leadership.term,
            reason=reason,
        )
        self.changed.notify()

    def error(self, kind: str, detail: str) -> ProposalError:
        """Return an error that names the leader, if known."""
        return ProposalError(kind=kind, detail=detail, leader=self.leader)


def committed_voters(replica: Replica) -> Membership:
    """Return the voters as of the commit index."""
    return voters_at(
        replica.entries, replica.commit_index, replica.context.settings
    )


def find_peer(replica: Replica, peer_id: str) -> Peer | None:
    """Return a peer from the membership, the learners or the settings."""
    known = {peer.id: peer for peer in replica.context.settings.peers}
    if replica.leadership is not None:
        known.update(replica.leadership.learners_by_id)
    known.update(replica.membership.voters_by_id)
    return known.get(peer_id)
