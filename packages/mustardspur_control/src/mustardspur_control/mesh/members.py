"""The control instances that are known, and the upkeep of the voters."""

import asyncio
import logging
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.settings import MeshSettings, Peer, Settings

from mustardspur_control.mesh.formation import control_peer, own_peer

_LOG: Final = logging.getLogger(__name__)

# A larger group of voters makes each commit slower and tolerates no loss
# that these do not; further instances follow without a vote.
MAX_VOTERS: Final = 7
# A group of voters is not made smaller than this by removals.
MIN_VOTERS: Final = 3
# An instance that is silent for this long is taken for removed; a restart or
# a freeze is over sooner, and an instance that returns is taken in again.
REMOVE_AFTER_S: Final = 12.0
# An instance that does not catch up in this time is tried again later.
CATCH_UP_TIMEOUT_S: Final = 6.0
CHECK_S: Final = 0.5
# An instance that is no voter and was silent for this long is not looked for.
FORGET_S: Final = 60.0


class Members:
    """Control instances by identifier, as far as they are known here.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    mesh : MeshSettings
        Its seeds.
    log : ReplicatedLog
        Names the voters.
    """

    __slots__ = ('_heard_s', '_learned', '_log', '_mesh', '_settings')

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        log: ReplicatedLog,
    ) -> None:
        """Start with the seeds and the voters."""
        self._settings = settings
        self._log = log
        self._learned: dict[str, Peer] = {}
        self._heard_s: dict[str, float] = {}
        self._mesh = mesh

    @property
    def others(self) -> dict[str, Peer]:
        """Every other control instance that may exist, by identifier."""
        seeds = [
            control_peer(self._settings, seed) for seed in self._mesh.seeds
        ]
        known = {peer.id: peer for peer in seeds}
        known.update(self._log.voter_peers)
        known.update(
            (name, peer)
            for name, peer in self._learned.items()
            if _now() - self._heard_s[name] < FORGET_S
        )
        known.pop(self._settings.id, None)
        return known

    @property
    def controls(self) -> list[Peer]:
        """Instances that nodes may attach to: this one and live others."""
        live = [
            peer for peer in self._learned.values() if self.is_live(peer.id)
        ]
        return [own_peer(self._settings), *live]

    def note(self, peer: Peer) -> None:
        """Take over what a control instance says of itself."""
        self._learned[peer.id] = peer
        self._heard_s[peer.id] = _now()

    def is_live(self, peer_id: str) -> bool:
        """Whether an instance was heard within the silence of a stream."""
        silence_s = self._settings.intervals.silence_s
        return _now() - self._heard_s.get(peer_id, float('-inf')) < silence_s

    def silent_s(self, peer_id: str, since_s: float) -> float:
        """Return for how long nothing was heard of an instance."""
        return _now() - max(self._heard_s.get(peer_id, since_s), since_s)

    async def run(self) -> None:
        """Keep the voters equal to the live instances while leading."""
        leading_since_s = _now()
        while True:
            await asyncio.sleep(CHECK_S)
            if self._log.is_leader:
                await self._keep_voters(leading_since_s)
            else:
                leading_since_s = _now()

    async def _keep_voters(self, since_s: float) -> None:
        voters = self._log.voter_peers
        candidates = self._candidates(voters)
        gone = [
            voter
            for voter in voters
            if voter != self._settings.id
            and self.silent_s(voter, since_s) > REMOVE_AFTER_S
        ]
        if candidates:
            await self._add(candidates[0])
        elif gone:
            await self._remove(gone[0], len(voters))

    def _candidates(self, voters: dict[str, Peer]) -> list[Peer]:
        live = [peer for peer in self.controls if voters.get(peer.id) != peer]
        if len(voters) < MAX_VOTERS:
            return live
        return [peer for peer in live if peer.id in voters]

    async def _add(self, peer: Peer) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                outcome = await self._log.add_voter(peer)
        except TimeoutError:
            _LOG.warning('voter did not catch up', extra={'peer': peer.id})
            return
        failure = outcome.error.detail if outcome.is_error() else ''
        _LOG.info('voter added', extra={'peer': peer.id, 'failure': failure})

    async def _remove(self, peer_id: str, voters: int) -> None:
        if voters <= MIN_VOTERS:
            return
        outcome = await self._log.remove_voter(peer_id)
        failure = outcome.error.detail if outcome.is_error() else ''
        _LOG.info('voter removed', extra={'peer': peer_id, 'failure': failure})


def _now() -> float:
    return asyncio.get_running_loop().time()
