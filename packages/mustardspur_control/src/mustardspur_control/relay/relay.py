"""All streams of a control instance to and from its peers."""

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
from mustardspur_control.relay.peer_link import Connect, PeerLink
from mustardspur_control.relay.peer_stream import PeerStream
from mustardspur_control.relay.shares import (
    Evidence,
    KnownCutOffs,
    OtherSummaries,
    OwnSummary,
    OwnTargets,
    Reports,
    Share,
)
from mustardspur_control.relay.summaries import RegionSummaries


class Relay:
    """Keeps the peers up to date, and takes what they pass on.

    Explanation
    ===========

    Every instance has a stream to each peer of its region. The region's
    gateway, the live instance with the lowest identifier, also has one to
    each other region. Reports and evidence go to the leader, through the
    gateway where the leader is in another region.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    hub : Hub
        State that is passed on.
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
        """Prepare a link to each peer of the region and to each region."""
        self.summaries = RegionSummaries(hub.registry)
        self._settings = settings
        self._hub = hub
        self._leader = leader
        self._outcomes = OutcomeCollector()
        self._passed_on: list[OtherSummaries] = []
        others = [peer for peer in settings.peers if peer.id != settings.id]
        self._near = {
            peer.id: self._near_link(peer, connect)
            for peer in sorted(others, key=lambda peer: peer.id)
            if peer.region == settings.region
        }
        self._far = {
            region: self._far_link(peers, connect)
            for region, peers in _by_region(others, settings).items()
        }
        hub.registry.known.on_change(self._wake)
        hub.cut_offs.on_new(self._wake)
        hub.applied.on_change(self._wake)
        hub.on_outcomes(self._add_outcomes)

    @property
    def is_gateway(self) -> bool:
        """Whether no live instance of the region has a lower identifier."""
        return not any(
            link.live is not None and peer_id < self._settings.id
            for peer_id, link in self._near.items()
        )

    @property
    def far_peers(self) -> list[str]:
        """Identifiers of the connected instances of other regions."""
        links = self._far.values()
        return [link.live.id for link in links if link.live is not None]

    async def serve(self, stream: FrameStream, hello: RelayHello) -> None:
        """Serve a peer until its stream ends; for `ControlStreams.add`."""
        peer = PeerStream(self._hub, self.summaries, self._pass_on, hello)
        with self._losing(peer):
            await peer.serve(stream)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keep all links for the length of a block."""
        near = [
            link.run(_always, self._is_upstream) for link in self._near.values()
        ]
        far = [
            link.run(self._is_gateway, self._is_upstream)
            for link in self._far.values()
        ]
        async with background(*near, *far):
            yield

    @contextmanager
    def _losing(self, peer: PeerStream) -> Iterator[None]:
        try:
            yield
        finally:
            if peer.is_near:
                self._hub.registry.lose_peer(peer.hello.control)

    def _is_gateway(self) -> bool:
        return self.is_gateway

    def _near_link(self, peer: Peer, connect: Connect) -> PeerLink:
        passed_on = OtherSummaries(self.summaries)
        self._passed_on.append(passed_on)
        shares: list[Share] = [OwnTargets(self._hub), passed_on]
        shares.extend(self._common_shares())
        return PeerLink(self._settings, [peer], shares, connect)

    def _far_link(self, peers: list[Peer], connect: Connect) -> PeerLink:
        shares: list[Share] = [OwnSummary(self._hub)]
        shares.extend(self._common_shares())
        return PeerLink(self._settings, peers, shares, connect)

    def _common_shares(self) -> list[Share]:
        return [
            KnownCutOffs(self._hub),
            Reports(self._hub),
            Evidence(self._outcomes),
        ]

    def _is_upstream(self, link: PeerLink) -> bool:
        leader = self._leader()
        if leader is None or leader == self._settings.id:
            return False
        near = self._near.get(leader)
        if near is not None:
            return link is near
        if self.is_gateway:
            return leader in {peer.id for peer in link.peers}
        live = [each for each in self._near.values() if each.live is not None]
        return bool(live) and link is live[0]

    def _pass_on(self, summary: RegistrySummary) -> None:
        for share in self._passed_on:
            share.add(summary)
        self._wake(summary)

    def _add_outcomes(self, sender: str, outcomes: Outcomes) -> None:
        if self._leader() != self._settings.id:
            self._outcomes.add(outcomes)
            self._wake(outcomes)

    def _wake(self, change: object) -> None:
        for link in (*self._near.values(), *self._far.values()):
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
