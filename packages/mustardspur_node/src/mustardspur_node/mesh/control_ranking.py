"""Order in which a node connects to control instances."""

import asyncio
from collections.abc import Sequence

import xxhash
from mustardspur_core.settings import MeshSettings, Peer, Settings


class ControlRanking:
    """Ranks known control instances by recent failures and distance.

    Parameters
    ----------
    settings : Settings
        Data centre, region and stream address of the node.
    mesh : MeshSettings
        Seeds, and the time for which a failure counts.
    """

    __slots__ = ('_by_stream', '_failed_s', '_mesh', '_settings')

    def __init__(self, settings: Settings, mesh: MeshSettings) -> None:
        """Initialise the ranking with the seeds."""
        self._settings = settings
        self._mesh = mesh
        self._by_stream: dict[str, Peer] = {}
        self._failed_s: dict[str, float] = {}

    def update(self, controls: Sequence[Peer]) -> None:
        """Replace the list of instances unless the new one is empty."""
        if controls:
            self._by_stream = {peer.stream: peer for peer in controls}

    def record_failure(self, stream: str) -> None:
        """Rank an instance behind the others for `contact_s`."""
        self._failed_s[stream] = _now()

    def ranked(self) -> list[str]:
        """Return the streams of the instances, best first.

        The seeds are always included, since all listed instances can be
        unreachable.
        """
        port = (self._settings.listen.stream or '').rpartition(':')[2]
        hosts = [seed.rpartition(':')[0] for seed in self._mesh.seeds]
        seeds = [f'{host}:{port}' for host in hosts]
        return sorted({*self._by_stream, *seeds}, key=self._rank)

    def nearer(self, stream: str) -> str | None:
        """Return the best instance if it is preferred, None otherwise."""
        best = self.ranked()[0]
        if self._rank(best)[:2] < self._rank(stream)[:2]:
            return best
        return None

    def _rank(self, stream: str) -> tuple[bool, int, int]:
        failed_s = self._failed_s.get(stream, float('-inf'))
        recently = _now() - failed_s < self._mesh.contact_s
        peer = self._by_stream.get(stream)
        distance = 2
        if peer is not None and peer.region == self._settings.region:
            distance = int(peer.data_centre != self._settings.data_centre)
        return recently, distance, self._spread(stream)

    def _spread(self, stream: str) -> int:
        """Return a rank among equals that differs from node to node.

        The nodes thereby spread over the instances, also when all return at
        the same moment.
        """
        pair = ' '.join((self._settings.id, stream))
        return xxhash.xxh3_64_intdigest(pair.encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
