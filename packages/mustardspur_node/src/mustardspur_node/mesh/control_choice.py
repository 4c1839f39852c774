"""The order in which a node tries control instances."""

import asyncio
from collections.abc import Sequence

from mustardspur_core.settings import MeshSettings, Peer, Settings


class ControlChoice:
    """Control instances that a node knows, nearest and soundest first.

    Parameters
    ----------
    settings : Settings
        Where the node is.
    mesh : MeshSettings
        The seeds.
    """

    __slots__ = ('_by_stream', '_failed_s', '_mesh', '_settings')

    def __init__(self, settings: Settings, mesh: MeshSettings) -> None:
        """Start with the seeds."""
        self._settings = settings
        self._mesh = mesh
        self._by_stream: dict[str, Peer] = {}
        self._failed_s: dict[str, float] = {}

    def learn(self, controls: Sequence[Peer]) -> None:
        """Take over the instances that one of them knows to be alive."""
        if controls:
            self._by_stream = {peer.stream: peer for peer in controls}

    def note_failure(self, stream: str) -> None:
        """Try an instance after the others for a while."""
        self._failed_s[stream] = _now()

    def ranked(self) -> list[str]:
        """Return the streams of the instances, best first.

        The seeds stay in the list, since all known instances can be gone.
        """
        port = (self._settings.listen.stream or '').rpartition(':')[2]
        hosts = [seed.rpartition(':')[0] for seed in self._mesh.seeds]
        seeds = [f'{host}:{port}' for host in hosts]
        return sorted({*self._by_stream, *seeds}, key=self._rank)

    def nearer(self, stream: str) -> str | None:
        """Return an instance that is to be preferred to another one."""
        best = self.ranked()[0]
        if self._rank(best)[:2] < self._rank(stream)[:2]:
            return best
        return None

    def _rank(self, stream: str) -> tuple[bool, int, str]:
        failed_s = self._failed_s.get(stream, float('-inf'))
        recently = _now() - failed_s < self._mesh.contact_s
        peer = self._by_stream.get(stream)
        distance = 2
        if peer is not None and peer.region == self._settings.region:
            distance = int(peer.data_centre != self._settings.data_centre)
        return recently, distance, stream


def _now() -> float:
    return asyncio.get_running_loop().time()
