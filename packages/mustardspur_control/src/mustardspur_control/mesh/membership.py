"""Changes of the voters by the leader."""

import asyncio
import logging
from typing import Final

from mustardspur_agreement import ReplicatedLog
from mustardspur_core.settings import MeshSettings, Peer, Settings

from mustardspur_control.mesh.known_controls import KnownControls

_LOG: Final = logging.getLogger(__name__)

# More voters slow down each commit, and seven already tolerate three
# failures; further instances follow the log without a vote.
MAX_VOTERS: Final = 7
# Silent voters are not removed below this number.
MIN_VOTERS: Final = 3
# A voter that is silent for this long is removed. Restarts and freezes are
# shorter, and an instance that returns is added again.
REMOVE_AFTER_S: Final = 12.0
# A voter that is silent for this long is removed sooner if an instance has
# joined: that one probably takes its place. As long as the lost voter counts, a
# further loss can leave no quorum. The change is committed within the 4 s after
# which the further loss of an instance is allowed for.
REMOVE_REPLACED_AFTER_S: Final = 3.0
# While the mesh forms, a first voter that was never heard is removed as soon as
# another instance has joined, since no order is acknowledged until then.
REMOVE_UNHEARD_AFTER_S: Final = 2.0
# A planned replacement starts the new instance this long before the old one
# ends, at most.
JOINED_BEFORE_S: Final = 8.0
# An instance that does not catch up within this time is retried later.
CATCH_UP_TIMEOUT_S: Final = 6.0
CHECK_INTERVAL_S: Final = 0.5
HELD_CHECK_INTERVAL_S: Final = 0.1


class Membership(KnownControls):
    """Known control instances, with the voters adjusted to the live ones.

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
        '_attempted_s',
        '_connected_since_s',
        '_last_joined_s',
        '_voter_ids',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        log: ReplicatedLog,
    ) -> None:
        """Initialise the membership with the seeds and the voters only."""
        super().__init__(settings, mesh, log)
        # All that were ever voters; one that returns replaces no other.
        self._voter_ids: set[str] = set()
        # When a voter was last found that was never one before.
        self._last_joined_s = float('-inf')
        # Since when a majority of the voters was live without interruption.
        self._connected_since_s = float('-inf')
        # When the addition of a voter was last attempted, by its identifier.
        self._attempted_s: dict[str, float] = {}

    async def run(self) -> None:
        """Adjust the voters to the live instances while this one leads.

        Every instance observes silences and new voters, so that the next
        leader does not wait for them again.
        """
        self._connected_since_s = _now()
        while True:
            await asyncio.sleep(
                HELD_CHECK_INTERVAL_S
                if self._log.holds_acks
                else CHECK_INTERVAL_S
            )
            self._observe()
            if self._log.is_leader:
                await self._reconcile_voters()

    def _observe(self) -> None:
        voters = set(self._log.voter_peers)
        if self._voter_ids and not voters <= self._voter_ids:
            self._last_joined_s = _now()
        self._voter_ids |= voters
        live = [
            voter
            for voter in voters
            if voter == self._settings.id or self.is_live(voter)
        ]
        # An instance that was cut off or paused itself has heard no one.
        if 2 * len(live) <= len(voters):
            self._connected_since_s = _now()

    async def _reconcile_voters(self) -> None:
        voters = self._log.voter_peers
        to_add = self._peers_to_add(voters)
        lost = [
            voter
            for voter in voters
            if voter != self._settings.id and self._is_lost(voter)
        ]
        # A lost voter goes first: every voter that is gone raises the number
        # of instances that a quorum of the larger group needs.
        if lost and len(voters) > MIN_VOTERS:
            await self._remove(lost[0])
        elif to_add:
            await self._add(min(to_add, key=self._turn))

    def _is_lost(self, voter: str) -> bool:
        silent_s = self.silent_for_s(voter, self._connected_since_s)
        if not self._log.is_assured and not self._is_recorded(voter):
            return silent_s > REMOVE_UNHEARD_AFTER_S
        earliest_s = _now() - silent_s - JOINED_BEFORE_S
        replaced = self._last_joined_s > earliest_s
        limit_s = REMOVE_REPLACED_AFTER_S if replaced else REMOVE_AFTER_S
        return silent_s > limit_s

    def _turn(self, peer: Peer) -> tuple[float, bool]:
        """Return a key that is least for the peer to add next.

        While the mesh forms, a further instance goes before the records of
        voters, but the first record brings it the addresses of the others.
        """
        is_later = not self._log.is_assured and (
            peer.id != self._settings.id and peer.id in self._log.voter_peers
        )
        return self._attempted_s.get(peer.id, float('-inf')), is_later

    def _peers_to_add(self, voters: dict[str, Peer]) -> list[Peer]:
        live = [
            peer
            for peer in self.controls
            if voters.get(peer.id) != peer and self._may_record(peer.id)
        ]
        if len(voters) < MAX_VOTERS:
            return live
        return [peer for peer in live if peer.id in voters]

    def _may_record(self, peer_id: str) -> bool:
        """Whether a first voter remembers, which its record then states."""
        return self._is_recorded(peer_id) or (
            peer_id in self._log.remembering_ids
        )

    def _is_recorded(self, peer_id: str) -> bool:
        voter = self._log.voter_peers.get(peer_id)
        return voter is None or bool(voter.data_centre)

    async def _add(self, peer: Peer) -> None:
        self._attempted_s[peer.id] = _now()
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                outcome = await self._log.add_voter(peer)
        except TimeoutError:
            _LOG.warning('voter did not catch up', extra={'peer': peer.id})
            return
        failure = outcome.error.detail if outcome.is_error() else ''
        _LOG.info('voter added', extra={'peer': peer.id, 'failure': failure})

    async def _remove(self, peer_id: str) -> None:
        outcome = await self._log.remove_voter(peer_id)
        failure = outcome.error.detail if outcome.is_error() else ''
        _LOG.info('voter removed', extra={'peer': peer_id, 'failure': failure})


def _now() -> float:
    return asyncio.get_running_loop().time()
