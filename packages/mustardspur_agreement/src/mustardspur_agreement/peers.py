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

    __slots__ = ('_links_by_id', '_replica', '_started')

    def __init__(self, replica: Replica) -> None:
        """Start without links."""
        self._replica = replica
        self._links_by_id: dict[str, PeerLink] = {}
        self._started: set[str] = set()

    def link_to(self, peer_id: str) -> PeerLink:
        """Return the link to a peer; `run` starts its tasks if it is new."""
        known = self._links_by_id.get(peer_id)
        if known is None:
            known = PeerLink(
                self._replica.context.settings,
                self._replica.context.environment.dial,
                lambda: self._address(peer_id),
            )
            self._links_by_id[peer_id] = known
            self._replica.changed.notify()
        return known

    async def run(self, group: asyncio.TaskGroup) -> None:
        """Start tasks for the members and for members that join."""
        while True:
            for name in self._unstarted():
                self._started.add(name)
                link = self.link_to(name)
                group.create_task(link.run())
                group.create_task(Replication(self._replica, link, name).run())
            await self._replica.changed.wait_for(self._has_unstarted)

    def _has_unstarted(self) -> bool:
        return bool(self._unstarted())

    def _unstarted(self) -> set[str]:
        return (self._members() | self._links_by_id.keys()) - self._started

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
