"""Streams of a control instance to and from its peers."""

from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

from mustardspur_core.messages import Outcomes
from mustardspur_core.settings import Peer, Settings
from mustardspur_core.tasks import background
from mustardspur_core.wire import FrameStream, connect_stream
from mustardspur_moves import OutcomeCollector

from mustardspur_control.hub import Hub
from mustardspur_control.relay.messages import RegistrySummary, RelayHello
from mustardspur_control.relay.peer_link import Connect, RelayPeerLink
from mustardspur_control.relay.peer_stream import PeerStream
from mustardspur_control.relay.summaries import RegionSummaries
from mustardspur_control.relay.update_sources import (
    CutOffUpdates,
    OutcomeUpdates,
    OwnSummaryUpdates,
    OwnTargetUpdates,
    RemoteSummaryUpdates,
    ReportUpdates,
    UpdateSource,
)


class Relay:
    """Exchanges state with the other control instances.

    Explanation
    ===========

    Every instance opens a stream to each peer of its region. The gateway of
    a region, which is its running instance with the lowest identifier, also
    opens one to each other region. Reports and evidence are sent towards the
    leader, through the gateway if the leader is in another region.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    hub : Hub
        State that is exchanged.
    leader : callable
        Returns the identifier of the leader, None if there is none.
    connect : callable, optional
        Opens a stream to an address within a time.
    """

    def __init__(
        self,
        settings: Settings,
        hub: Hub,
        leader: Callable[[], str | None],
        connect: Connect = connect_stream,
    ) -> None:
        """Create the links to the peers of the region and to other regions."""
        self.summaries = RegionSummaries(hub.registry)
        self._settings = settings
        self._hub = hub
        self._leader = leader
        self._outcomes = OutcomeCollector()
        self._remote_sources: list[RemoteSummaryUpdates] = []
        others = [peer for peer in settings.peers if peer.id != settings.id]
        self._region_links = {
            peer.id: self._region_link(peer, connect)
            for peer in sorted(others, key=lambda peer: peer.id)
            if peer.region == settings.region
        }
        self._remote_links = {
            region: self._remote_link(peers, connect)
            for region, peers in _by_region(others, settings).items()
        }
        hub.registry.known_targets.on_change(self._wake)
        hub.cut_offs.on_new(self._wake)
        hub.applied.on_change(self._wake)
        hub.on_outcomes(self._add_outcomes)

    @property
    def is_gateway(self) -> bool:
        """Whether no connected peer of the region has a lower identifier."""
        return not any(
            link.connected_peer is not None and peer_id < self._settings.id
            for peer_id, link in self._region_links.items()
        )

    @property
    def remote_peers(self) -> list[str]:
        """Identifiers of the connected instances in other regions."""
        links = self._remote_links.values()
        return [
            link.connected_peer.id
            for link in links
            if link.connected_peer is not None
        ]

    async def serve(self, stream: FrameStream, hello: RelayHello) -> None:
        """Serve a peer until its stream ends, for `ControlStreams.add`."""
        peer = PeerStream(
            self._hub, self.summaries, self._forward_summary, hello
        )
        with self._disconnecting(peer):
            await peer.serve(stream)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all links for the length of a block."""
        region_runs = [
            link.run(_always, self._is_upstream)
            for link in self._region_links.values()
        ]
        remote_runs = [
            link.run(self._is_gateway, self._is_upstream)
            for link in self._remote_links.values()
        ]
        async with background(*region_runs, *remote_runs):
            yield

    @contextmanager
    def _disconnecting(self, peer: PeerStream) -> Iterator[None]:
        try:
            yield
        finally:
            if peer.is_in_own_region:
                self._hub.registry.mark_peer_disconnected(peer.hello.control)

    def _is_gateway(self) -> bool:
        return self.is_gateway

    def _region_link(self, peer: Peer, connect: Connect) -> RelayPeerLink:
        remote_updates = RemoteSummaryUpdates(self.summaries)
        self._remote_sources.append(remote_updates)
        sources: list[UpdateSource] = [
            OwnTargetUpdates(self._hub),
            remote_updates,
        ]
        sources.extend(self._common_sources())
        return RelayPeerLink(self._settings, [peer], sources, connect)

    def _remote_link(
        self, peers: list[Peer], connect: Connect
    ) -> RelayPeerLink:
        sources: list[UpdateSource] = [OwnSummaryUpdates(self._hub)]
        sources.extend(self._common_sources())
        return RelayPeerLink(self._settings, peers, sources, connect)

    def _common_sources(self) -> list[UpdateSource]:
        return [
            CutOffUpdates(self._hub),
            ReportUpdates(self._hub),
            OutcomeUpdates(self._outcomes),
        ]

    def _is_upstream(self, link: RelayPeerLink) -> bool:
        leader = self._leader()
        if leader is None or leader == self._settings.id:
            return False
        region_link = self._region_links.get(leader)
        if region_link is not None:
            return link is region_link
        if self.is_gateway:
            return leader in {peer.id for peer in link.peers}
        connected = [
            each
            for each in self._region_links.values()
            if each.connected_peer is not None
        ]
        return bool(connected) and link is connected[0]

    def _forward_summary(self, summary: RegistrySummary) -> None:
        for source in self._remote_sources:
            source.add(summary)
        self._wake(summary)

    def _add_outcomes(self, sender: str, outcomes: Outcomes) -> None:
        if self._leader() != self._settings.id:
            self._outcomes.add(outcomes)
            self._wake(outcomes)

    def _wake(self, change: object) -> None:
        for link in (
            *self._region_links.values(),
            *self._remote_links.values(),
        ):
            link.wake.set()


def _always() -> bool:
    return True


def _by_region(
    peers: list[Peer],
    settings: Settings,
) -> dict[str, list[Peer]]:
    peers_by_region: dict[str, list[Peer]] = defaultdict(list)
    for peer in sorted(peers, key=lambda peer: peer.id):
        if peer.region != settings.region:
            peers_by_region[peer.region].append(peer)
    return peers_by_region
