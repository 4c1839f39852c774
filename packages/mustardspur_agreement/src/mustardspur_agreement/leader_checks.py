"""Periodic checks of a leader: quorum contact and preferred region."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.settings import Peer

from mustardspur_agreement.leadership import Leadership
from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.messages import TakeOver, TakeOverAnswer
from mustardspur_agreement.replica import Replica

_CHECKS_PER_ELECTION: Final = 4
# Minimum time between two transfers, in election timeouts. Without it, a
# preferred region whose voters repeatedly lose the leadership would cause an
# election every second.
_TRANSFER_INTERVAL_ELECTIONS: Final = 20


class LeaderChecks:
    """Ends or transfers the leadership of this instance where needed.

    Explanation
    ===========

    A leader steps down if no quorum answered it within the minimum election
    timeout, or once its removal from the voters is committed. It transfers
    its leadership to a caught-up voter of the preferred region, the one with
    most voters, so that fewer appends cross regions.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    link_to : callable
        Returns the link to a peer.
    """

    __slots__ = ('_last_transfer_s', '_link_to', '_replica')

    def __init__(
        self,
        replica: Replica,
        link_to: Callable[[str], PeerLink],
    ) -> None:
        """Initialise without a previous leadership transfer."""
        self._replica = replica
        self._link_to = link_to
        self._last_transfer_s = float('-inf')

    async def run(self) -> None:
        """Check several times per election timeout, until cancelled."""
        replica = self._replica
        while True:
            await replica.changed.wait_for(self._is_leading)
            await asyncio.sleep(replica.election_s / _CHECKS_PER_ELECTION)
            if replica.leadership is not None:
                self._check_contact(replica.leadership)
                await self._check_region(replica.leadership)

    def _is_leading(self) -> bool:
        return self._replica.leadership is not None

    def _check_contact(self, leadership: Leadership) -> None:
        replica = self._replica
        since_s = _now() - replica.election_s
        in_contact = [*leadership.acked_since(since_s), replica.own_id]
        if not replica.membership.is_quorum(in_contact):
            replica.step_down('no contact with a quorum')
        elif not replica.is_voter:
            if replica.commit_index >= replica.entries.last_index:
                replica.step_down('removed from the voters')

    async def _check_region(self, leadership: Leadership | None) -> None:
        replica = self._replica
        if leadership is None or not replica.is_voter:
            return
        preferred = replica.membership.preferred_region()
        interval_s = _TRANSFER_INTERVAL_ELECTIONS * replica.election_s
        is_recent = _now() - self._last_transfer_s < interval_s
        if is_recent or preferred in {replica.context.settings.region, ''}:
            return
        transferee = self._transferee(leadership, preferred)
        if transferee is not None:
            self._last_transfer_s = _now()
            await self._transfer_leadership(leadership, transferee)

    def _transferee(self, leadership: Leadership, region: str) -> Peer | None:
        match_by_id = leadership.match_by_id()
        last_index = self._replica.entries.last_index
        in_contact = set(
            leadership.acked_since(_now() - self._replica.election_s),
        )
        return next(
            (
                peer
                for name, peer in self._replica.membership.voters_by_id.items()
                if peer.region == region
                and name in in_contact
                and match_by_id.get(name) == last_index
            ),
            None,
        )

    async def _transfer_leadership(
        self, leadership: Leadership, transferee: Peer
    ) -> None:
        replica = self._replica
        reply = await self._link_to(transferee.id).call(
            TakeOver(term=leadership.term),
            replica.election_s,
        )
        if isinstance(reply, TakeOverAnswer) and reply.accepted:
            replica.context.report('leadership_handed_over', to=transferee.id)


def _now() -> float:
    return asyncio.get_running_loop().time()
