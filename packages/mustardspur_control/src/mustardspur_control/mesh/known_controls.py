"""Control instances that an instance knows, and when they were seen."""

import asyncio
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.settings import MeshSettings, Peer, Settings

from mustardspur_control.mesh.formation import control_peer, own_peer

# No connection is attempted to a non-voter that is silent for this long.
PEER_EXPIRY_S: Final = 60.0
# Instances that were named and not seen; at most 22 are set aside for control.
MAX_NAMED: Final = 256
_NEVER_S: Final = float('-inf')


class KnownControls:
    """Control instances that this instance knows, and when they were seen.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    mesh : MeshSettings
        Settings of the mesh, with its seeds.
    log : ReplicatedLog
        Log with the voters.
    """

    __slots__ = (
        '_last_seen_s',
        '_log',
        '_mesh',
        '_named_s',
        '_peers_by_id',
        '_settings',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        log: ReplicatedLog,
    ) -> None:
        """Initialise with the seeds and the voters only."""
        self._settings = settings
        self._log = log
        self._peers_by_id: dict[str, Peer] = {}
        self._last_seen_s: dict[str, float] = {}
        # When another instance last named an instance.
        self._named_s: dict[str, float] = {}
        self._mesh = mesh

    @property
    def other_peers(self) -> dict[str, Peer]:
        """Seeds, voters and instances that were seen or named recently."""
        seeds = [
            control_peer(self._settings, seed) for seed in self._mesh.seeds
        ]
        known = {peer.id: peer for peer in seeds}
        known.update(self._log.voter_peers)
        known.update(
            (name, peer)
            for name, peer in self._peers_by_id.items()
            if _now() - self._last_known_s(name) < PEER_EXPIRY_S
        )
        known.pop(self._settings.id, None)
        return known

    @property
    def peers_to_name(self) -> dict[str, Peer]:
        """Voters and live instances, for an instance that may know neither."""
        live = {peer.id: peer for peer in self.controls}
        return {**self._log.voter_peers, **live}

    @property
    def known_ids(self) -> set[str]:
        """Voters and recently seen instances, without this one."""
        seen = {
            name
            for name, seen_s in self._last_seen_s.items()
            if _now() - seen_s < PEER_EXPIRY_S
        }
        return (seen | self._log.voter_peers.keys()) - {self._settings.id}

    @property
    def controls(self) -> list[Peer]:
        """Instances that nodes may attach to: this and the live others."""
        live = [
            peer for peer in self._peers_by_id.values() if self.is_live(peer.id)
        ]
        return [own_peer(self._settings), *live]

    def record_seen(self, peer: Peer) -> None:
        """Record a message of a control instance and its addresses."""
        self._peers_by_id[peer.id] = peer
        self._last_seen_s[peer.id] = _now()

    def record_named(self, peers: list[Peer]) -> None:
        """Record instances that another one named, with their addresses.

        A new instance is told of its seeds only, and the leader, which adds
        it, may be none of them. A faulty one may name any number: those above
        `MAX_NAMED` are left out.
        """
        self._forget_named()
        for peer in peers:
            is_named = peer.id in self._named_s
            if is_named or len(self._named_s) < MAX_NAMED:
                self._peers_by_id.setdefault(peer.id, peer)
                self._named_s[peer.id] = _now()

    def is_live(self, peer_id: str) -> bool:
        """Whether an instance was seen within ``silence_s``."""
        silence_s = self._settings.intervals.silence_s
        return _now() - self._last_seen_s.get(peer_id, _NEVER_S) < silence_s

    def silent_for_s(self, peer_id: str, since_s: float) -> float:
        """Return the silence of an instance since a time, in seconds.

        Parameters
        ----------
        peer_id : str
            Identifier of the instance.
        since_s : float
            Time of the event loop before which silence does not count.
        """
        return _now() - max(self._last_seen_s.get(peer_id, since_s), since_s)

    def _forget_named(self) -> None:
        """Forget instances that were not named for `PEER_EXPIRY_S`."""
        oldest_s = _now() - PEER_EXPIRY_S
        for peer_id, named_s in list(self._named_s.items()):
            if named_s <= oldest_s:
                self._named_s.pop(peer_id)
                if peer_id not in self._last_seen_s:
                    self._peers_by_id.pop(peer_id, None)

    def _last_known_s(self, peer_id: str) -> float:
        return max(
            self._last_seen_s.get(peer_id, _NEVER_S),
            self._named_s.get(peer_id, _NEVER_S),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
