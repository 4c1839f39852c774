"""Vote and pre-vote requests of a candidate."""

import asyncio
from collections.abc import Callable
from typing import Any

from mustardspur_core.record import Record

from mustardspur_agreement.eligibility import Election
from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.membership import Membership
from mustardspur_agreement.messages import (
    UnanimousVoteRequest,
    VoteAnswer,
    VoteRequest,
)
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.signal import Signal
from mustardspur_agreement.voting_rules import is_won

LinkTo = Callable[[str], PeerLink]


class VoteCount:
    """Counts the votes of one election round.

    Parameters
    ----------
    membership : Membership
        The voters.
    candidate : str
        Identifier of the candidate, which votes for itself.
    unanimous : bool
        Whether all voters must grant their vote.
    """

    __slots__ = (
        '_answered',
        '_granted',
        '_membership',
        '_unanimous',
        'changed',
        'others',
    )

    def __init__(
        self,
        membership: Membership,
        candidate: str,
        *,
        unanimous: bool = False,
    ) -> None:
        """Initialise with the candidate's own vote."""
        self._membership = membership
        self._unanimous = unanimous
        self._granted = {candidate}
        self._answered = {candidate}
        self.others = sorted(membership.voters_by_id.keys() - self._granted)
        self.changed = Signal()

    @property
    def is_won(self) -> bool:
        """Whether a quorum, or every voter if needed, granted its vote."""
        return is_won(
            self._membership,
            self._granted,
            unanimous=self._unanimous,
        )

    @property
    def is_over(self) -> bool:
        """Whether a quorum is reached or every voter has answered."""
        unanswered = self._membership.voters_by_id.keys() - self._answered
        return self.is_won or not unanswered

    def count(self, voter: str, *, granted: bool) -> None:
        """Record the answer of a voter; a failed request is a refusal."""
        self._answered.add(voter)
        if granted:
            self._granted.add(voter)
        self.changed.notify()


class Candidacy:
    """Requests votes for this instance.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    link_to : callable
        Returns the link to a peer.
    """

    __slots__ = ('_link_to', '_replica')

    def __init__(self, replica: Replica, link_to: LinkTo) -> None:
        """Initialise with the replica and its links."""
        self._replica = replica
        self._link_to = link_to

    async def request_votes(
        self, election: Election, *, pre_vote: bool
    ) -> bool:
        """Request the votes of all other voters concurrently.

        Parameters
        ----------
        election : Election
            Kind of the election.
        pre_vote : bool
            Whether to ask for a pre-vote, which changes no ballot.

        Returns
        -------
        bool
            Whether enough voters grant their vote.
        """
        replica = self._replica
        request = _vote_request(replica, election, pre_vote=pre_vote)
        votes = VoteCount(
            replica.membership,
            replica.own_id,
            unanimous=election.unanimous,
        )
        async with asyncio.TaskGroup() as group:
            requests = [
                group.create_task(self._request_vote(name, request, votes))
                for name in votes.others
            ]
            await votes.changed.wait_for(lambda: votes.is_over)
            for task in requests:
                task.cancel()
        return votes.is_won

    async def _request_vote(
        self,
        name: str,
        request: Record,
        votes: 'VoteCount',
    ) -> None:
        reply = await self._link_to(name).call(
            request,
            self._replica.election_s,
        )
        if isinstance(reply, VoteAnswer):
            votes.count(name, granted=reply.granted)
            await self._adopt_newer_term(reply)
        else:
            votes.count(name, granted=False)

    async def _adopt_newer_term(self, reply: VoteAnswer) -> None:
        if reply.term > self._replica.ballot.term:
            async with self._replica.lock:
                await _adopt_term(self._replica, reply.term)


def _vote_request(
    replica: Replica, election: Election, *, pre_vote: bool
) -> Record:
    entries = replica.entries
    fields: dict[str, Any] = {
        'term': replica.ballot.term + pre_vote,
        'candidate': replica.own_id,
        'last_index': entries.last_index,
        'last_term': entries.last_term,
        'pre_vote': pre_vote,
    }
    if election.unanimous:
        return UnanimousVoteRequest(**fields)
    return VoteRequest(**fields, handover=election.handover)


async def _adopt_term(replica: Replica, term: int) -> None:
    try:
        await replica.adopt_term(term)
    except OSError as error:
        replica.context.report('term_not_recorded', reason=str(error))
