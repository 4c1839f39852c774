"""The leader's checks of its own position."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.settings import Peer

from mustardspur_agreement.leadership import Leadership
from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.messages import TakeOver, TakeOverAnswer
from mustardspur_agreement.replica import Replica

_CHECKS_PER_ELECTION: Final = 4
# Leadership moves to the preferred region at most this often, so that a
# region whose voters cannot keep it does not cause an election every second.
_HANDOVER_PAUSE_ELECTIONS: Final = 20


class Oversight:
    """Steps down without a quorum, hands over to the preferred region.

    Parameters
    ----------
    replica : Replica
        The copy of the log.
    link_to : callable
        Returns the link to a peer.
    """

    __slots__ = ('_handover_s', '_link_to', '_replica')

    def __init__(
        self,
        replica: Replica,
        link_to: Callable[[str], PeerLink],
    ) -> None:
        """Start without a handover."""
        self._replica = replica
        self._link_to = link_to
        self._handover_s = float('-inf')

    async def run(self) -> None:
        """Check until cancelled."""
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
        pause_s = _HANDOVER_PAUSE_ELECTIONS * replica.election_s
        recent = _now() - self._handover_s < pause_s
        if recent or preferred in {replica.context.settings.region, ''}:
            return
        heir = self._heir(leadership, preferred)
        if heir is not None:
            self._handover_s = _now()
            await self._hand_over(leadership, heir)

    def _heir(self, leadership: Leadership, region: str) -> Peer | None:
        match_by_id = leadership.match_by_id()
        last_index = self._replica.entries.last_index
        current = set(
            leadership.acked_since(_now() - self._replica.election_s),
        )
        return next(
            (
                peer
                for name, peer in self._replica.membership.voters_by_id.items()
                if peer.region == region
                and name in current
                and match_by_id.get(name) == last_index
            ),
            None,
        )

    async def _hand_over(self, leadership: Leadership, heir: Peer) -> None:
        replica = self._replica
        reply = await self._link_to(heir.id).call(
            TakeOver(term=leadership.term),
            replica.election_s,
        )
        if isinstance(reply, TakeOverAnswer) and reply.accepted:
            replica.context.report('leadership_handed_over', to=heir.id)


def _now() -> float:
    return asyncio.get_running_loop().time()
