"""Links and replication tasks of all peers."""

import asyncio

from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.replica import Replica, find_peer
from mustardspur_agreement.replication import Replication


class Peers:
    """Owns the links to the peers and starts their tasks.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    """

    __slots__ = ('_links_by_id', '_replica', '_started_ids')

    def __init__(self, replica: Replica) -> None:
        """Initialise without links."""
        self._replica = replica
        self._links_by_id: dict[str, PeerLink] = {}
        self._started_ids: set[str] = set()

    def link_to(self, peer_id: str) -> PeerLink:
        """Return the link to a peer; `run` starts its tasks if it is new."""
        link = self._links_by_id.get(peer_id)
        if link is None:
            link = PeerLink(
                self._replica.context.settings,
                self._replica.context.environment.dial,
                lambda: self._address(peer_id),
            )
            self._links_by_id[peer_id] = link
            self._replica.changed.notify()
        return link

    async def run(self, group: asyncio.TaskGroup) -> None:
        """Start the tasks of current and new members, until cancelled."""
        while True:
            for name in self._unstarted_ids():
                self._started_ids.add(name)
                link = self.link_to(name)
                group.create_task(link.run())
                group.create_task(Replication(self._replica, link, name).run())
            await self._replica.changed.wait_for(self._has_unstarted)

    def _has_unstarted(self) -> bool:
        return bool(self._unstarted_ids())

    def _unstarted_ids(self) -> set[str]:
        return (self._members() | self._links_by_id.keys()) - self._started_ids

    def _members(self) -> set[str]:
        replica = self._replica
        names = set(replica.membership.voters_by_id)
        if replica.leadership is not None:
            names.update(replica.leadership.learners_by_id)
        return names - {replica.own_id}

    def _address(self, peer_id: str) -> str:
        peer = find_peer(self._replica, peer_id)
        if peer is None:
            raise ConnectionError(
                f'no address of {peer_id} in the voters or settings'
            )
        return peer.stream
