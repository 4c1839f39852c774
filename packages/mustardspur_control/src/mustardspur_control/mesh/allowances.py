"""Broker of a control instance for the limits shared by all nodes."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from mustardspur_core.mesh.allowance_checks import check_demand, check_request
from mustardspur_core.mesh.control_messages import (
    ACCEPTS_ALLOWANCES,
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
    AllowanceUse,
    LimitDemand,
)
from mustardspur_core.mesh.token_bucket import TokenBucket
from mustardspur_core.settings import MeshSettings

from mustardspur_control.mesh.allowance_shares import (
    DemandOfPeers,
    next_share,
)
from mustardspur_control.mesh.lender_choice import LenderChoice
from mustardspur_control.mesh.limit_broker import LimitBroker
from mustardspur_control.mesh.membership import Membership
from mustardspur_control.mesh.registry import LOCAL_SOURCE, MeshRegistry
from mustardspur_control.mesh.shared_limits import SharedLimit, shared_limits
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.token_borrowing import TokenBorrowing

UPDATE_INTERVAL_S: Final = 0.5
# A demand is sent again when it has changed by this part of itself, or of an
# equal part of the limit if that is more.
CHANGED_PART: Final = 0.1
# Bytes that an instance sends to all others together at each update. Twice that
# in a second is two thirds of `EXCHANGE_BYTES_PER_S`; the rest remains for
# borrowing.
UPDATE_BYTES: Final = 300
# Bytes of a demand beside the name of its limit, and of a frame around it.
_DEMAND_BYTES: Final = 13
_FRAME_BYTES: Final = 14


class AllowanceBroker:
    """Grants tokens of this instance's shares of all limits.

    Parameters
    ----------
    mesh : MeshSettings
        Slack of the limits, retries of the services, and whether all
        instances start for the first time.
    members : Membership
        The other control instances.
    registry : MeshRegistry
        Nodes and the instances that they are attached to.
    store : MeshStore
        State with the table in force.

    Attributes
    ----------
    borrowing : TokenBorrowing
        Tokens that this instance borrows and lends.
    """

    __slots__ = (
        '_by_limit',
        '_first_tokens',
        '_lenders',
        '_members',
        '_mesh',
        '_on_update',
        '_peers',
        '_registry',
        '_store',
        '_table_index',
        'borrowing',
    )

    def __init__(
        self,
        mesh: MeshSettings,
        members: Membership,
        registry: MeshRegistry,
        store: MeshStore,
    ) -> None:
        """Initialise without limits."""
        self._mesh = mesh
        self._members = members
        self._registry = registry
        self._store = store
        self._on_update: list[Callable[[], None]] = []
        self._peers = DemandOfPeers()
        self._by_limit: dict[str, LimitBroker] = {}
        self._lenders = LenderChoice(self._peers.by_peer, _now())
        self.borrowing = TokenBorrowing(self._by_limit, self._lenders)
        self._table_index = 0
        # Before a restart, nodes may have been granted all tokens.
        is_restart = not mesh.first_start or bool(store.state.table_index)
        self._first_tokens = float(0) if is_restart else float('inf')
        store.on_change(self._apply_table)
        self._apply_table()

    @property
    def heartbeat_id(self) -> int:
        """Request identifier of the heartbeats of this instance."""
        return ACCEPTS_ALLOWANCES if self._by_limit else 0

    async def run(self) -> None:
        """Update demand and shares until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            if self._by_limit:
                self.update(_now())
                for listener in self._on_update:
                    listener()

    def on_update(self, listener: Callable[[], None]) -> None:
        """Call a listener after each update of demand and shares."""
        self._on_update.append(listener)

    def answer(self, node: str, request: AllowanceRequest) -> AllowanceGrant:
        """Return the grant for a request of an attached node.

        Raises
        ------
        MalformedFrame
            If a number of the request is out of its range.
        """
        check_request(request)
        now_s = _now()
        grant = AllowanceGrant(
            grants=[self._answer(node, use, now_s) for use in request.uses],
        )
        self.borrowing.check_shortages(request.uses)
        return grant

    def record_demand(self, peer: str, update: AllowanceDemand) -> None:
        """Store the demand that another control instance sees.

        Raises
        ------
        MalformedFrame
            If a demand is out of its range.
        """
        check_demand(update)
        self._peers.apply(peer, update)

    def update(self, now_s: float) -> None:
        """Measure the demand and adjust the shares of this instance."""
        self._update_peers()
        for limit, broker in self._by_limit.items():
            broker.measure(now_s)
            wanted = self._peers.share(
                limit,
                broker.heard_per_s,
                broker.rate_per_s,
            )
            broker.equal_share = self._peers.equal_share
            broker.resize(next_share(broker.share, wanted), now_s)

    def changed_demand(self, sent: dict[str, float]) -> AllowanceDemand | None:
        """Return the demand that another instance is to be sent.

        Parameters
        ----------
        sent : dict of float
            Demand that was sent on the stream, by limit; it is updated. Empty
            at the start of a stream, which makes the demand a full one.

        Returns
        -------
        AllowanceDemand or None
            None if no demand has changed. The largest changes are sent first
            if not all of them may be sent at once.
        """
        full = not sent
        changes = self._changes(sent)
        changes.sort(reverse=True)
        left_bytes = UPDATE_BYTES / max(len(self._members.known_ids), 1)
        left_bytes -= _FRAME_BYTES
        demands: list[LimitDemand] = []
        for _, limit, per_s in changes:
            demand_bytes = _DEMAND_BYTES + len(limit)
            left_bytes -= demand_bytes
            if left_bytes < 0 and demands and not full:
                break
            if not full:
                self._lenders.count_bytes(demand_bytes)
            sent[limit] = per_s
            demands.append(LimitDemand(limit=limit, per_s=per_s))
        # The empty name is no limit; it marks that a full update was sent.
        sent.setdefault('', 0)
        if demands or full:
            return AllowanceDemand(full=full, demands=demands)
        return None

    def describe(self) -> list[dict[str, Any]]:
        """Return the limits with demand and share, for operators."""
        return [
            {
                'limit': broker.limit,
                'rate_per_s': broker.rate_per_s,
                'burst': broker.burst,
                'demand_per_s': round(broker.demand_per_s, 2),
                'share': round(broker.share, 4),
                'tokens': round(broker.bucket.tokens, 1),
                'demand_of_others_per_s': self._peers.by_peer(broker.limit),
            }
            for broker in self._by_limit.values()
        ]

    def _answer(
        self,
        node: str,
        use: AllowanceUse,
        now_s: float,
    ) -> AllowanceShare:
        broker = self._by_limit.get(use.limit)
        if broker is not None:
            return broker.answer(node, use, now_s)
        # The node has another table than this instance. Without a time for a
        # retry, it decides by its own part of the limit.
        return AllowanceShare(
            limit=use.limit,
            tokens=0,
            valid_ms=0,
            relaxed=False,
            retry_after_ms=0,
        )

    def _changes(
        self, sent: dict[str, float]
    ) -> list[tuple[float, str, float]]:
        """Return changed demands with their change as a part of the limit."""
        changes: list[tuple[float, str, float]] = []
        instances = len(self._members.known_ids) + 1
        for limit, broker in self._by_limit.items():
            before = sent.get(limit, 0)
            change = abs(broker.demand_per_s - before)
            equal_part = broker.rate_per_s / instances
            if change > CHANGED_PART * max(before, equal_part):
                changes.append(
                    (
                        change / broker.rate_per_s,
                        limit,
                        round(broker.demand_per_s, 2),
                    ),
                )
            elif before and not broker.demand_per_s:
                changes.append((0, limit, 0))
        return changes

    def _update_peers(self) -> None:
        self._peers.update(
            self._members.known_ids,
            self._members.is_live,
            self._registry.registrations_from,
            self._registry.registrations_from(LOCAL_SOURCE),
        )

    def _apply_table(self) -> None:
        """Take the limits of a new table in force."""
        state = self._store.state
        if not state.packed or state.table_index == self._table_index:
            return
        self._table_index = state.table_index
        limits = shared_limits(state.packed, self._mesh)
        self._update_peers()
        for removed in self._by_limit.keys() - limits.keys():
            self._by_limit.pop(removed)
        now_s = _now()
        for name, limit in limits.items():
            self._apply_limit(name, limit, now_s)

    def _apply_limit(
        self,
        name: str,
        limit: SharedLimit,
        now_s: float,
    ) -> None:
        broker = self._by_limit.get(name)
        if broker is None:
            bucket = TokenBucket(now_s, self._first_tokens)
            broker = LimitBroker(name, bucket, now_s)
            broker.share = self._peers.share(name, 0, limit.rate_per_s)
            self._by_limit[name] = broker
        broker.rate_per_s = limit.rate_per_s
        broker.burst = limit.burst
        broker.slack = limit.slack
        broker.may_relax = limit.may_relax
        broker.valid_ms = limit.valid_ms
        broker.equal_share = self._peers.equal_share
        broker.resize(broker.share, now_s)


def _now() -> float:
    return asyncio.get_running_loop().time()
