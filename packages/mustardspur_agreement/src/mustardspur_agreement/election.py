"""Leader elections, started when the election timeout passes."""

import asyncio
from typing import Final

from mustardspur_agreement.ballot import Ballot
from mustardspur_agreement.ballot_rules import (
    after_election,
    after_start_of_term,
)
from mustardspur_agreement.candidacy import Candidacy, LinkTo
from mustardspur_agreement.eligibility import Election, possible_elections
from mustardspur_agreement.leadership import Leadership
from mustardspur_agreement.messages import TakeOver, TakeOverAnswer
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.voting import has_leader_contact
from mustardspur_agreement.voting_rules import is_candidate, is_only_voter

# After a failed write, in election timeouts. A full disk usually stays full for
# a while, and another voter can lead in the meantime.
_DISK_ERROR_PAUSE_ELECTIONS: Final = 10
# Factor on the election timeout of a restarted instance until its first contact
# with a leader, so that a leader is elected sooner after a restart of all
# instances. It does not disrupt a working leader, since voters in contact with
# one reject the pre-vote. It does not apply to an empty log, so that the first
# election leaves more time for all voters to start.
_RESTART_TIMEOUT_RATIO: Final = 0.4


class Elections:
    """Runs the elections in which this instance is a candidate.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    link_to : callable
        Returns the link to a peer.
    """

    __slots__ = (
        '_candidacy',
        '_paused_until_s',
        '_replica',
        '_transfer_requested',
    )

    def __init__(self, replica: Replica, link_to: LinkTo) -> None:
        """Initialise without a pause and without a requested transfer."""
        self._replica = replica
        self._candidacy = Candidacy(replica, link_to)
        self._transfer_requested = False
        self._paused_until_s = float('-inf')

    async def run(self) -> None:
        """Campaign after each randomised election timeout, until cancelled."""
        if is_only_voter(self._replica.membership, self._replica.own_id):
            await self._campaign()
        while True:
            await self._wait_for_timeout(self._timeout_s())
            if self._transfer_requested or not has_leader_contact(
                self._replica
            ):
                await self._campaign()

    def pause(self) -> None:
        """Suspend campaigns for `_DISK_ERROR_PAUSE_ELECTIONS` timeouts."""
        pause_s = _DISK_ERROR_PAUSE_ELECTIONS * self._replica.election_s
        self._paused_until_s = _now() + pause_s

    def answer_take_over(self, request: TakeOver) -> TakeOverAnswer:
        """Accept a leadership transfer if it is from the current term."""
        accepted = request.term == self._replica.ballot.term
        self._transfer_requested = accepted
        self._replica.changed.notify()
        return TakeOverAnswer(accepted=accepted)

    async def _wait_for_timeout(self, timeout_s: float) -> None:
        """Wait for an election timeout or a leadership transfer."""
        started_s = _now()
        remaining_s = timeout_s
        while remaining_s > 0 and not self._transfer_requested:
            await self._replica.changed.wait_until(
                self._is_transfer_requested, remaining_s
            )
            contact_s = max(started_s, self._replica.contact.leader_s)
            remaining_s = contact_s + timeout_s - _now()

    def _is_transfer_requested(self) -> bool:
        return self._transfer_requested

    def _timeout_s(self) -> float:
        election_s = self._replica.election_s
        jitter = self._replica.context.environment.random.random()
        membership = self._replica.membership
        region = self._replica.context.settings.region
        if not membership.voters_by_id:
            return 2 * election_s
        # Voters outside of the region with most voters wait longer, so that a
        # voter of that region usually campaigns first.
        outside = membership.preferred_region() not in {region, ''}
        timeout_s = (1 + jitter + outside) * election_s
        restarted = self._replica.entries.last_index > 0
        if restarted and self._replica.contact.leader_s == float('-inf'):
            return _RESTART_TIMEOUT_RATIO * timeout_s
        return timeout_s

    async def _campaign(self) -> None:
        handover = self._transfer_requested
        self._transfer_requested = False
        if self._replica.leadership is not None:
            return
        if _now() < self._paused_until_s:
            return
        election = await self._choose_election(handover=handover)
        if election is not None:
            await self._run_for(election)

    async def _choose_election(self, *, handover: bool) -> Election | None:
        """Return the first possible election whose pre-vote is won."""
        elections = possible_elections(self._replica, handover=handover)
        while elections:
            election = elections.pop(0)
            if handover or await self._candidacy.request_votes(
                election, pre_vote=True
            ):
                return election
        return None

    async def _run_for(self, election: Election) -> None:
        if not await self._start_term(handover=election.handover):
            return
        term = self._replica.ballot.term
        elected = await self._candidacy.request_votes(election, pre_vote=False)
        async with self._replica.lock:
            if not elected or not self._is_candidate(term):
                return
            if await self._record(after_election(self._replica.ballot)):
                self._become_leader()

    def _is_candidate(self, term: int) -> bool:
        return is_candidate(self._replica.ballot, self._replica.own_id, term)

    async def _start_term(self, *, handover: bool) -> bool:
        replica = self._replica
        async with replica.lock:
            if has_leader_contact(replica) and not handover:
                return False
            return await self._record(
                after_start_of_term(
                    replica.ballot, replica.membership, replica.own_id
                ),
            )

    async def _record(self, ballot: Ballot) -> bool:
        if ballot == self._replica.ballot:
            return True
        try:
            await self._replica.record_ballot(ballot)
        except OSError as error:
            self._replica.context.report('vote_not_recorded', reason=str(error))
            self.pause()
            return False
        return True

    def _become_leader(self) -> None:
        replica = self._replica
        leadership = Leadership(
            replica.ballot.term,
            replica.entries.last_index + 1,
            _now(),
        )
        leadership.queue_no_op()
        replica.leadership = leadership
        replica.leader = replica.own_id
        replica.context.report('leader_elected', term=leadership.term)
        replica.changed.notify()


def _now() -> float:
    return asyncio.get_running_loop().time()
