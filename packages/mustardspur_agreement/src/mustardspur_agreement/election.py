"""Standing for election when no leader is heard."""

import asyncio
from typing import Final

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.candidacy import Candidacy, LinkTo
from mustardspur_agreement.entries import EntryKind
from mustardspur_agreement.leadership import Leadership, Proposal
from mustardspur_agreement.messages import TakeOver, TakeOverAnswer
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.voting import hears_leader, may_vote

# A full disk mostly stays full for a while, and another voter can lead.
_DISK_PAUSE_ELECTIONS: Final = 10
# Part of the usual timeout until a leader was heard for the first time after a
# restart. Voters that hear a leader refuse the pre-vote, so an instance that
# starts among them disturbs nobody; after a restart of all, nobody is waited
# for. An empty log keeps the usual timeout: an instance that misses the first
# election has to be refilled before its vote counts.
_COLD_START_PART: Final = 0.4


class Elections:
    """The instance's own candidacies.

    Parameters
    ----------
    replica : Replica
        The copy of the log.
    link_to : callable
        Returns the link to a peer.
    """

    __slots__ = ('_candidacy', '_paused_until_s', '_replica', '_summoned')

    def __init__(self, replica: Replica, link_to: LinkTo) -> None:
        """Start without a candidacy."""
        self._replica = replica
        self._candidacy = Candidacy(replica, link_to)
        self._summoned = False
        self._paused_until_s = float('-inf')

    async def run(self) -> None:
        """Stand whenever the randomized timeout passes, until cancelled."""
        if self._alone():
            await self._stand()
        while True:
            await self._silence(self._timeout_s())
            if self._summoned or not hears_leader(self._replica):
                await self._stand()

    def pause(self) -> None:
        """Leave leadership to others for a while, after a disk error."""
        pause_s = _DISK_PAUSE_ELECTIONS * self._replica.election_s
        self._paused_until_s = _now() + pause_s

    def answer_take_over(self, request: TakeOver) -> TakeOverAnswer:
        """Stand at once if the current leader asks for it."""
        accepted = request.term == self._replica.ballot.term
        self._summoned = accepted
        self._replica.changed.notify()
        return TakeOverAnswer(accepted=accepted)

    async def _silence(self, timeout_s: float) -> None:
        """Wait until no leader was heard for this long, or one calls."""
        started_s = _now()
        left_s = timeout_s
        while left_s > 0 and not self._summoned:
            await self._replica.changed.wait_until(self._is_summoned, left_s)
            heard_s = max(started_s, self._replica.contact.heard_s)
            left_s = heard_s + timeout_s - _now()

    def _is_summoned(self) -> bool:
        return self._summoned

    def _alone(self) -> bool:
        voters = self._replica.membership.voters_by_id
        return self._replica.is_voter and len(voters) == 1

    def _timeout_s(self) -> float:
        election_s = self._replica.election_s
        chance = self._replica.context.surroundings.random.random()
        membership = self._replica.membership
        region = self._replica.context.settings.region
        if not membership.voters_by_id:
            return 2 * election_s
        # Voters of other regions wait longer, so that one of the region with
        # most voters usually stands first.
        outside = membership.preferred_region() not in {region, ''}
        timeout_s = (1 + chance + outside) * election_s
        restarted = self._replica.entries.last_index > 0
        if restarted and self._replica.contact.heard_s == float('-inf'):
            return _COLD_START_PART * timeout_s
        return timeout_s

    async def _stand(self) -> None:
        handover = self._summoned
        self._summoned = False
        if not self._may_stand():
            return
        if not handover and not await self._candidacy.poll(
            pre_vote=True, handover=False
        ):
            return
        if not await self._start_term(handover=handover):
            return
        term = self._replica.ballot.term
        elected = await self._candidacy.poll(pre_vote=False, handover=handover)
        async with self._replica.lock:
            if elected and self._is_candidate(term):
                self._lead()

    def _may_stand(self) -> bool:
        replica = self._replica
        if replica.leadership is not None or _now() < self._paused_until_s:
            return False
        return replica.is_voter and may_vote(
            replica,
            replica.entries.last_index,
        )

    def _is_candidate(self, term: int) -> bool:
        ballot = self._replica.ballot
        return ballot.term == term and ballot.voted_for == self._replica.own_id

    async def _start_term(self, *, handover: bool) -> bool:
        replica = self._replica
        async with replica.lock:
            if hears_leader(replica) and not handover:
                return False
            try:
                await replica.record_ballot(
                    Ballot(
                        term=replica.ballot.term + 1,
                        voted_for=replica.own_id,
                        trusted=True,
                    )
                )
            except OSError as error:
                replica.context.report('vote_not_recorded', reason=str(error))
                self.pause()
                return False
        return True

    def _lead(self) -> None:
        replica = self._replica
        leadership = Leadership(
            replica.ballot.term,
            replica.entries.last_index + 1,
            _now(),
        )
        leadership.queue.append(
            Proposal(
                kind=EntryKind.NO_OP,
                content=b'',
                outcome=asyncio.get_running_loop().create_future(),
            )
        )
        replica.leadership = leadership
        replica.leader = replica.own_id
        replica.context.report('leader_elected', term=leadership.term)
        replica.changed.notify()


def _now() -> float:
    return asyncio.get_running_loop().time()
