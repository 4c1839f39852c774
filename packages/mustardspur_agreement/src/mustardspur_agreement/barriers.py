"""Linearizable reads by a confirmed read index."""

from collections.abc import Callable
from typing import Final

from expression import Error, Ok, Result

from mustardspur_agreement.leadership import Leadership
from mustardspur_agreement.links import PeerLink
from mustardspur_agreement.messages import BarrierAnswer, BarrierRequest
from mustardspur_agreement.ports import ProposalError
from mustardspur_agreement.replica import Replica

MAX_HOPS: Final = 3
_CONFIRM_TIMEOUT_ELECTIONS: Final = 2
_CALL_TIMEOUT_ELECTIONS: Final = 4
_APPLY_TIMEOUT_ELECTIONS: Final = 8


class Barriers:
    """Obtains read indexes from the leader, directly or through peers.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    link_to : callable
        Returns the link to a peer.
    upstream : callable
        Returns the identifier of the upstream instance, if any.
    """

    __slots__ = ('_link_to', '_replica', '_upstream')

    def __init__(
        self,
        replica: Replica,
        link_to: Callable[[str], PeerLink],
        upstream: Callable[[], str | None],
    ) -> None:
        """Initialise with the replica and its links."""
        self._replica = replica
        self._link_to = link_to
        self._upstream = upstream

    async def read(self) -> Result[int, ProposalError]:
        """Return a confirmed read index once it is applied locally."""
        replica = self._replica
        answer = await self.obtain(MAX_HOPS)
        if not answer.confirmed:
            return Error(
                replica.error('no_quorum', 'no leader confirmed its quorum'),
            )
        applied = await replica.changed.wait_until(
            lambda: replica.applied_index >= answer.index,
            replica.election_s * _APPLY_TIMEOUT_ELECTIONS,
        )
        if applied:
            return Ok(answer.index)
        return Error(
            replica.error(
                'no_quorum',
                f'read index {answer.index} was not applied in time',
            ),
        )

    async def obtain(self, hops: int) -> BarrierAnswer:
        """Request the leader's confirmation through at most ``hops`` peers."""
        if self._replica.leadership is not None:
            return await self._confirm(self._replica.leadership)
        names = self._next_hops() if hops else []
        while names:
            answer = await self._link_to(names.pop(0)).call(
                BarrierRequest(hops=hops - 1),
                self._replica.election_s * _CALL_TIMEOUT_ELECTIONS,
            )
            if isinstance(answer, BarrierAnswer) and answer.confirmed:
                return answer
        return _refusal()

    def _next_hops(self) -> list[str]:
        own_id = self._replica.own_id
        names = (self._replica.leader, self._upstream())
        known = [name for name in names if name and name != own_id]
        return list(dict.fromkeys(known))

    async def _confirm(self, leadership: Leadership) -> BarrierAnswer:
        replica = self._replica
        timeout_s = replica.election_s * _CONFIRM_TIMEOUT_ELECTIONS
        # Until the first entry of its term is committed, a new leader does not
        # know which entries of earlier terms are committed.
        await replica.changed.wait_until(
            lambda: (
                self._has_ended(leadership)
                or replica.commit_index >= leadership.first_index
            ),
            timeout_s,
        )
        answer = BarrierAnswer(
            confirmed=replica.commit_index >= leadership.first_index,
            term=leadership.term,
            index=replica.commit_index,
            last_index=replica.entries.last_index,
        )
        leadership.round += 1
        sent_round = leadership.round
        replica.changed.notify()
        confirmed = await replica.changed.wait_until(
            lambda: (
                self._has_ended(leadership)
                or self._is_acked(leadership, sent_round)
            ),
            timeout_s,
        )
        if confirmed and answer.confirmed and not self._has_ended(leadership):
            return answer
        return _refusal()

    def _has_ended(self, leadership: Leadership) -> bool:
        return self._replica.leadership is not leadership

    def _is_acked(self, leadership: Leadership, sent_round: int) -> bool:
        acked = leadership.acked_rounds(sent_round)
        return self._replica.membership.is_quorum(
            [*acked, self._replica.own_id],
        )


def _refusal() -> BarrierAnswer:
    return BarrierAnswer(confirmed=False, term=0, index=0, last_index=0)
