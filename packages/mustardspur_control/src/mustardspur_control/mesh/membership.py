"""Known control instances, and changes of the voters by the leader."""

import asyncio
import logging
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.settings import MeshSettings, Peer, Settings

from mustardspur_control.mesh.formation import control_peer, own_peer

_LOG: Final = logging.getLogger(__name__)

# More voters slow down each commit, and seven already tolerate three
# failures; further instances follow the log without a vote.
MAX_VOTERS: Final = 7
# Silent voters are not removed below this number.
MIN_VOTERS: Final = 3
# A voter that is silent for this long is removed. Restarts and freezes are
# shorter, and an instance that returns is added again.
REMOVE_AFTER_S: Final = 12.0
# A voter that is silent for this long is removed sooner once an instance has
# joined during its silence: that one probably takes its place. As long as the
# lost voter counts, a further loss can leave no quorum.
REMOVE_REPLACED_AFTER_S: Final = 4.0
# An instance that does not catch up within this time is retried later.
CATCH_UP_TIMEOUT_S: Final = 6.0
CHECK_INTERVAL_S: Final = 0.5
# No connection is attempted to a non-voter that is silent for this long.
PEER_EXPIRY_S: Final = 60.0


class Membership:
    """Control instances that this instance knows, and when they were seen.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    mesh : MeshSettings
        Settings of the mesh, with its seeds.
    log : ReplicatedLog
        Log whose voters are read and changed.
    """

    __slots__ = (
        '_last_joined_s',
        '_last_seen_s',
        '_log',
        '_mesh',
        '_peers_by_id',
        '_settings',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        log: ReplicatedLog,
    ) -> None:
        """Initialise the membership with the seeds and the voters only."""
        self._settings = settings
        self._log = log
        self._peers_by_id: dict[str, Peer] = {}
        self._last_seen_s: dict[str, float] = {}
        # Time at which this leader last added a voter that was none before.
        self._last_joined_s = float('-inf')
        self._mesh = mesh

    @property
    def other_peers(self) -> dict[str, Peer]:
        """Seeds, voters and recently seen instances, without this one."""
        seeds = [
            control_peer(self._settings, seed) for seed in self._mesh.seeds
        ]
        known = {peer.id: peer for peer in seeds}
        known.update(self._log.voter_peers)
        known.update(
            (name, peer)
            for name, peer in self._peers_by_id.items()
            if _now() - self._last_seen_s[name] < PEER_EXPIRY_S
        )
        known.pop(self._settings.id, None)
        return known

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

    def is_live(self, peer_id: str) -> bool:
        """Whether an instance was seen within ``silence_s``."""
        silence_s = self._settings.intervals.silence_s
        return (
            _now() - self._last_seen_s.get(peer_id, float('-inf')) < silence_s
        )

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

    async def run(self) -> None:
        """Adjust the voters to the live instances while this one leads."""
        leading_since_s = _now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._log.is_leader:
                await self._reconcile_voters(leading_since_s)
            else:
                leading_since_s = _now()

    async def _reconcile_voters(self, since_s: float) -> None:
        voters = self._log.voter_peers
        to_add = self._peers_to_add(voters)
        silent = [
            voter
            for voter in voters
            if voter != self._settings.id and self._is_lost(voter, since_s)
        ]
        if to_add:
            await self._add(to_add[0], voters)
        elif silent:
            await self._remove(silent[0], len(voters))

    def _is_lost(self, voter: str, since_s: float) -> bool:
        silent_s = self.silent_for_s(voter, since_s)
        replaced = self._last_joined_s > _now() - silent_s
        limit_s = REMOVE_REPLACED_AFTER_S if replaced else REMOVE_AFTER_S
        return silent_s > limit_s

    def _peers_to_add(self, voters: dict[str, Peer]) -> list[Peer]:
        live = [peer for peer in self.controls if voters.get(peer.id) != peer]
        if len(voters) < MAX_VOTERS:
            return live
        return [peer for peer in live if peer.id in voters]

    async def _add(self, peer: Peer, voters: dict[str, Peer]) -> None:
        is_new = peer.id not in voters
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                outcome = await self._log.add_voter(peer)
        except TimeoutError:
            _LOG.warning('voter did not catch up', extra={'peer': peer.id})
            return
        failure = outcome.error.detail if outcome.is_error() else ''
        if is_new and not failure:
            self._last_joined_s = _now()
        _LOG.info('voter added', extra={'peer': peer.id, 'failure': failure})

    async def _remove(self, peer_id: str, voter_count: int) -> None:
        if voter_count <= MIN_VOTERS:
            return
        outcome = await self._log.remove_voter(peer_id)
        failure = outcome.error.detail if outcome.is_error() else ''
        _LOG.info('voter removed', extra={'peer': peer_id, 'failure': failure})


def _now() -> float:
    return asyncio.get_running_loop().time()
