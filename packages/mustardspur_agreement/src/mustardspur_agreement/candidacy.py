"""Asking the voters for their votes."""

import asyncio
from collections.abc import Callable

from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.membership import Membership
from mustardspur_agreement.messages import VoteAnswer, VoteRequest
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.signal import Signal

LinkTo = Callable[[str], PeerLink]


class Tally:
    """Votes of one candidacy.

    Parameters
    ----------
    membership : Membership
        The voters.
    candidate : str
        Who stands and votes for itself.
    """

    __slots__ = ('_answered', '_granted', '_membership', 'changed', 'others')

    def __init__(self, membership: Membership, candidate: str) -> None:
        """Start with the candidate's own vote."""
        self._membership = membership
        self._granted = {candidate}
        self._answered = {candidate}
        self.others = sorted(membership.voters_by_id.keys() - self._granted)
        self.changed = Signal()

    @property
    def is_won(self) -> bool:
        """Whether a quorum has granted its vote."""
        return self._membership.is_quorum(self._granted)

    @property
    def is_over(self) -> bool:
        """Whether it is won or every voter has answered."""
        unanswered = self._membership.voters_by_id.keys() - self._answered
        return self.is_won or not unanswered

    def count(self, voter: str, *, granted: bool) -> None:
        """Count an answer, or its absence as a refusal."""
        self._answered.add(voter)
        if granted:
            self._granted.add(voter)
        self.changed.notify()


class Candidacy:
    """Polls of one instance.

    Parameters
    ----------
    replica : Replica
        The copy of the log.
    link_to : callable
        Returns the link to a peer.
    """

    __slots__ = ('_link_to', '_replica')

    def __init__(self, replica: Replica, link_to: LinkTo) -> None:
        """Start without a poll."""
        self._replica = replica
        self._link_to = link_to

    async def poll(self, *, pre_vote: bool, handover: bool) -> bool:
        """Ask all voters at once.

        Parameters
        ----------
        pre_vote : bool
            Whether to ask only if they would vote in the next term.
        handover : bool
            Whether the current leader wants this instance to lead.

        Returns
        -------
        bool
            Whether a quorum grants its vote.
        """
        replica = self._replica
        request = VoteRequest(
            term=replica.ballot.term + pre_vote,
            candidate=replica.own_id,
            last_index=replica.entries.last_index,
            last_term=replica.entries.last_term,
            pre_vote=pre_vote,
            handover=handover,
        )
        tally = Tally(replica.membership, replica.own_id)
        async with asyncio.TaskGroup() as group:
            asking = [
                group.create_task(self._ask(name, request, tally))
                for name in tally.others
            ]
            await tally.changed.wait_for(lambda: tally.is_over)
            for task in asking:
                task.cancel()
        return tally.is_won

    async def _ask(
        self,
        name: str,
        request: VoteRequest,
        tally: 'Tally',
    ) -> None:
        reply = await self._link_to(name).call(
            request,
            self._replica.election_s,
        )
        if isinstance(reply, VoteAnswer):
            tally.count(name, granted=reply.granted)
            await self._heed(reply)
        else:
            tally.count(name, granted=False)

    async def _heed(self, reply: VoteAnswer) -> None:
        if reply.term > self._replica.ballot.term:
            async with self._replica.lock:
                await _adopt(self._replica, reply.term)


async def _adopt(replica: Replica, term: int) -> None:
    try:
        await replica.adopt_term(term)
    except OSError as error:
        replica.context.report('term_not_recorded', reason=str(error))
