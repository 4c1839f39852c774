"""Membership changes, one voter at a time."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from expression import Error, Ok, Result
from mustardspur_core.record import replaced
from mustardspur_core.settings import Peer

from mustardspur_agreement.entries import EntryKind
from mustardspur_agreement.leadership import Leadership, Outcome
from mustardspur_agreement.log_rules import may_change_voters
from mustardspur_agreement.membership import Membership, pack_voters
from mustardspur_agreement.ports import ProposalError
from mustardspur_agreement.proposals import Proposals
from mustardspur_agreement.replica import Replica

_CATCH_UP_TIMEOUT_ELECTIONS = 60


class VoterChanges:
    """Adds and removes voters on the leader.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    proposals : Proposals
        Commits the membership entry.
    """

    __slots__ = ('_is_changing', '_proposals', '_replica')

    def __init__(self, replica: Replica, proposals: Proposals) -> None:
        """Initialise without a change in progress."""
        self._replica = replica
        self._proposals = proposals
        self._is_changing = False

    async def add(self, peer: Peer) -> Outcome:
        """Replicate to a peer as a learner until it catches up, then add it.

        If the peer is already a voter, only its description changes.

        Parameters
        ----------
        peer : Peer
            The new voter; its addresses are stored in the log.

        Returns
        -------
        Result
            The committed entry; an error of kind ``busy`` while another
            change is in progress, ``no_quorum`` if the peer does not catch up.
        """
        async with self._exclusive_change() as leadership:
            if leadership.is_error():
                return Error(leadership.error)
            voters = self._replica.membership.voters_by_id
            if peer.id not in voters:
                caught_up = await self._catch_up(leadership.ok, peer)
                if caught_up.is_error():
                    return Error(caught_up.error)
            voters = dict(self._replica.membership.voters_by_id)
            voters[peer.id] = replaced(peer, voter=True)
            return await self._commit(list(voters.values()))

    async def remove(self, peer_id: str) -> Outcome:
        """Remove a voter; a removed leader steps down afterwards.

        Returns
        -------
        Result
            The committed entry; an error of kind ``busy`` while another
            change is in progress, ``no_quorum`` if the other voters that are
            trusted and in contact could not commit it.
        """
        async with self._exclusive_change() as leadership:
            if leadership.is_error():
                return Error(leadership.error)
            voters = dict(self._replica.membership.voters_by_id)
            voters.pop(peer_id, None)
            if not voters:
                return Error(
                    self._error('busy', 'the last voter cannot be removed')
                )
            if not self._is_quorum(leadership.ok, voters):
                # The pending removal would block all further changes.
                return Error(
                    self._error('no_quorum', 'the others are no quorum')
                )
            return await self._commit(list(voters.values()))

    def _is_quorum(
        self, leadership: Leadership, voters: dict[str, Peer]
    ) -> bool:
        replica = self._replica
        since_s = asyncio.get_running_loop().time() - replica.election_s
        in_contact = set(leadership.acked_since(since_s))
        trusted = in_contact & leadership.match_by_id().keys()
        membership = Membership(voters.values())
        return membership.is_quorum({*trusted, replica.own_id})

    @asynccontextmanager
    async def _exclusive_change(
        self,
    ) -> AsyncIterator[Result[Leadership, ProposalError]]:
        leadership = self._replica.leadership
        if leadership is None:
            yield Error(self._error('not_leader', 'not the leader'))
        elif self._is_changing:
            yield Error(
                self._error('busy', 'another change of voters is in progress')
            )
        else:
            self._is_changing = True
            try:
                yield await self._prepare(leadership)
            finally:
                self._is_changing = False

    async def _prepare(
        self,
        leadership: Leadership,
    ) -> Result[Leadership, ProposalError]:
        # Any change that an earlier leader left pending is committed with the
        # first entry of the leader's term.
        replica = self._replica
        await replica.changed.wait_for(
            lambda: (
                replica.leadership is not leadership
                or replica.commit_index >= leadership.first_index
            ),
        )
        if replica.leadership is not leadership:
            return Error(self._error('not_leader', 'leadership was lost'))
        if await self._may_change(leadership):
            return Ok(leadership)
        return Error(
            self._error('busy', 'a change of voters is not committed yet')
        )

    async def _may_change(self, leadership: Leadership) -> bool:
        """Return False while a change whose caller stopped waiting is pending.

        A further change would be two steps from the last committed voters, and
        quorums that differ by two changes need not share a voter.
        """
        replica = self._replica
        # Under the lock, no batch is between the queue and the log.
        async with replica.lock:
            queued = {proposal.kind for proposal in leadership.queue}
            return EntryKind.VOTERS not in queued and may_change_voters(
                replica.entries,
                replica.commit_index,
                leadership.first_index,
            )

    async def _catch_up(
        self,
        leadership: Leadership,
        peer: Peer,
    ) -> Result[None, ProposalError]:
        replica = self._replica
        with _as_learner(leadership, peer):
            replica.changed.notify()
            caught_up = await replica.changed.wait_until(
                lambda: (
                    replica.leadership is not leadership
                    or _is_caught_up(leadership, replica, peer.id)
                ),
                replica.election_s * _CATCH_UP_TIMEOUT_ELECTIONS,
            )
        if replica.leadership is not leadership:
            return Error(self._error('not_leader', 'leadership was lost'))
        if caught_up:
            return Ok(None)
        return Error(self._error('no_quorum', f'{peer.id} did not catch up'))

    async def _commit(self, voters: list[Peer]) -> Outcome:
        return await self._proposals.propose(
            EntryKind.VOTERS,
            pack_voters(voters),
        )

    def _error(self, kind: str, detail: str) -> ProposalError:
        return self._replica.error(kind, detail)


@contextmanager
def _as_learner(leadership: Leadership, peer: Peer) -> Iterator[None]:
    """Replicate to a peer as a learner for the duration of the block."""
    leadership.learners_by_id[peer.id] = peer
    try:
        yield
    finally:
        leadership.learners_by_id.pop(peer.id, None)


def _is_caught_up(
    leadership: Leadership,
    replica: Replica,
    peer_id: str,
) -> bool:
    progress = leadership.progress(peer_id)
    return progress.trusted and (
        progress.match_index >= replica.entries.last_index
    )
