"""The tasks for each peer."""

import asyncio

from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.replica import Replica, find_peer
from mustardspur_agreement.replication import Replication


class Peers:
    """Links to the peers, with the tasks that use them.

    Parameters
    ----------
    replica : Replica
        The copy of the log.
    """

    __slots__ = ('_group', '_links_by_id', '_replica')

    def __init__(self, replica: Replica) -> None:
        """Start without links."""
        self._replica = replica
        self._links_by_id: dict[str, PeerLink] = {}
        self._group: asyncio.TaskGroup | None = None

    def link_to(self, peer_id: str) -> PeerLink:
        """Return the link to a peer, starting its tasks if it is new."""
        known = self._links_by_id.get(peer_id)
        if known is not None:
            return known
        replica = self._replica
        link = PeerLink(
            replica.context.settings,
            replica.context.surroundings.dial,
            lambda: self._address(peer_id),
        )
        self._links_by_id[peer_id] = link
        if self._group is not None:
            self._group.create_task(link.run())
            self._group.create_task(
                Replication(replica, link, peer_id).run(),
            )
        return link

    async def run(self, group: asyncio.TaskGroup) -> None:
        """Start tasks for the members and for members that join."""
        self._group = group
        while True:
            for name in self._members():
                self.link_to(name)
            await self._replica.changed.wait_for(self._has_new_members)

    def _has_new_members(self) -> bool:
        return bool(self._members() - self._links_by_id.keys())

    def _members(self) -> set[str]:
        replica = self._replica
        names = set(replica.membership.voters_by_id)
        if replica.leadership is not None:
            names.update(replica.leadership.learners_by_id)
        return names - {replica.own_id}

    def _address(self, peer_id: str) -> str:
        peer = find_peer(self._replica, peer_id)
        if peer is None:
            raise ConnectionError(f'no address of {peer_id} is known')
        return peer.stream
