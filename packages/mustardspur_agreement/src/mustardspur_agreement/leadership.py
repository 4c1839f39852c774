"""Volatile state of a leader during its term."""

import asyncio

from expression import Result
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer

from mustardspur_agreement.entries import EntryKind
from mustardspur_agreement.ports import Committed, ProposalError

Outcome = Result[Committed, ProposalError]


class Proposal(Record):
    """An entry to append and the future of its outcome."""

    __slots__ = ('kind', 'content', 'outcome')
    kind: int
    content: bytes
    outcome: asyncio.Future[Outcome]


class Progress(Record):
    """Replication progress of a peer.

    Parameters
    ----------
    next_index : int
        First entry to send.
    match_index : int
        Highest index up to which its log durably matches the leader's.
    acked_round : int
        Newest heartbeat round that it answered.
    acked_s : float
        Send time of the newest request with a trusted answer, at first the
        time of the election, in seconds of the loop's clock.
    sent_commit : int
        Commit index last sent to it.
    heard : bool
        Whether it has answered this leader.
    trusted : bool
        Whether its answers count towards a quorum.
    refill_entries : int
        Entries appended for its refill so far.
    refill_entry_s : float
        Time of the last of them, in seconds of the loop's clock.
    """

    __slots__ = (
        'next_index',
        'match_index',
        'acked_round',
        'acked_s',
        'sent_commit',
        'heard',
        'trusted',
        'refill_entries',
        'refill_entry_s',
    )
    next_index: int
    match_index: int
    acked_round: int
    acked_s: float
    sent_commit: int
    heard: bool
    trusted: bool
    refill_entries: int
    refill_entry_s: float


class Leadership:
    """One term of a leader.

    Parameters
    ----------
    term : int
        The term.
    first_index : int
        Index of the no-op entry that starts the term.
    elected_s : float
        Time of the election, in seconds of the loop's clock.

    Attributes
    ----------
    held_since_s : float or None
        When the first acknowledgement was held back, in seconds of the loop's
        clock.
    """

    __slots__ = (
        '_elected_s',
        'first_index',
        'held_since_s',
        'learners_by_id',
        'progress_by_id',
        'queue',
        'round',
        'term',
        'waiting_by_index',
    )

    def __init__(self, term: int, first_index: int, elected_s: float) -> None:
        """Initialise without progress of any peer."""
        self.term = term
        self.first_index = first_index
        self.progress_by_id: dict[str, Progress] = {}
        self.learners_by_id: dict[str, Peer] = {}
        self.queue: list[Proposal] = []
        self.waiting_by_index: dict[int, Proposal] = {}
        self.round = 0
        self.held_since_s: float | None = None
        self._elected_s = elected_s

    def progress(self, peer_id: str) -> Progress:
        """Return the progress of a peer, created on first use."""
        progress = self.progress_by_id.get(peer_id)
        if progress is None:
            progress = Progress(
                next_index=self.first_index,
                match_index=0,
                acked_round=0,
                acked_s=self._elected_s,
                sent_commit=0,
                heard=False,
                trusted=False,
                refill_entries=0,
                refill_entry_s=float('-inf'),
            )
            self.progress_by_id[peer_id] = progress
        return progress

    def queue_no_op(self) -> None:
        """Queue an entry without content."""
        self.queue.append(
            Proposal(
                kind=EntryKind.NO_OP,
                content=b'',
                outcome=asyncio.get_running_loop().create_future(),
            )
        )

    def match_by_id(self) -> dict[str, int]:
        """Return the match index of each trusted peer."""
        return {
            name: progress.match_index
            for name, progress in self.progress_by_id.items()
            if progress.trusted
        }

    def acked_since(self, since_s: float) -> list[str]:
        """Return the peers that answered a request sent since a time.

        The election counts as an answer of every peer with progress.
        """
        return [
            name
            for name, progress in self.progress_by_id.items()
            if progress.acked_s >= since_s
        ]

    def acked_rounds(self, number: int) -> list[str]:
        """Return the trusted peers that answered a round or a later one."""
        return [
            name
            for name, progress in self.progress_by_id.items()
            if progress.acked_round >= number
        ]

    def heard_ids(self) -> set[str]:
        """Return the peers that have answered this leader."""
        return {
            name
            for name, progress in self.progress_by_id.items()
            if progress.heard
        }

    def fail_all(self, queued: Outcome, written: Outcome) -> None:
        """Complete all queued and written proposals at the end of the term."""
        for proposal in self.queue:
            answer(proposal, queued)
        for proposal in self.waiting_by_index.values():
            answer(proposal, written)
        self.queue.clear()
        self.waiting_by_index.clear()


def answer(proposal: Proposal, outcome: Outcome) -> None:
    """Set the outcome of a proposal unless it was cancelled."""
    if not proposal.outcome.done():
        proposal.outcome.set_result(outcome)
