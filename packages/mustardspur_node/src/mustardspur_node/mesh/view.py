"""Routing table, transfers and targets that a node has received."""

import asyncio
import logging
from typing import Final

from mustardspur_core.mesh.control_messages import (
    MeshTargets,
    MeshTransfers,
)
from mustardspur_core.mesh.model import (
    DEFAULT_LIMITS,
    CallerLimits,
    MeshRoute,
    MeshTarget,
    MeshTargetState,
    RoutingTable,
    Transfer,
    TransferState,
)
from mustardspur_core.mesh.packing import TableDelta, apply_delta

from mustardspur_node.mesh.evacuated_data_centres import EvacuatedDataCentres

_LOG: Final = logging.getLogger(__name__)

# After a restart of all control instances the nodes reach them within this
# time.
RETENTION_S: Final = 5.0


class RouteIndex:
    """Routes of a table by host and path prefix.

    Parameters
    ----------
    table : RoutingTable
        The table; it must not be changed afterwards.
    """

    __slots__ = ('_by_host', 'table')

    def __init__(self, table: RoutingTable) -> None:
        """Index the routes by host and path prefix."""
        self.table = table
        self._by_host: dict[str, dict[str, MeshRoute]] = {}
        for route in table.routes.values():
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> MeshRoute | None:
        """Return the route with the longest matching prefix, None if absent."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        plain = path.partition('?')[0]
        end = plain.rfind('/') + 1
        while end > 0:
            route = by_prefix.get(plain[:end])
            if route is not None:
                return route
            end = plain.rfind('/', 0, end - 1) + 1
        return None


class MeshView:
    """Latest state received; older tables and transfers are ignored.

    Explanation
    ===========

    A table is replaced as a whole, so that a call uses one table throughout.
    A table whose index is not above the one in force is ignored.

    Attributes
    ----------
    evacuated : EvacuatedDataCentres
        Data centres whose targets receive no calls.
    """

    __slots__ = (
        '_retained_until_s',
        '_transfers_index',
        'base_versions',
        'evacuated',
        'rolled_back',
        'routes',
        'table_index',
        'targets_by_node',
        'targets_by_service',
        'transfers',
    )

    def __init__(self) -> None:
        """Initialise the view without a table or targets."""
        self.routes: RouteIndex | None = None
        self.table_index = 0
        self.transfers: dict[str, Transfer] = {}
        self.base_versions: dict[str, str] = {}
        self.rolled_back: dict[str, list[str]] = {}
        self.targets_by_node: dict[str, MeshTarget] = {}
        self.targets_by_service: dict[str, list[MeshTarget]] = {}
        self.evacuated = EvacuatedDataCentres()
        self._transfers_index = -1
        # Targets that the last full update did not contain, by node.
        self._retained_until_s: dict[str, float] = {}

    def apply_table(self, delta: TableDelta) -> None:
        """Put a table in force if it is newer.

        Raises
        ------
        ValueError
            If the delta is based on a table other than the one in force.
        """
        if delta.index <= self.table_index:
            return
        if delta.base_index and delta.base_index != self.table_index:
            raise ValueError(
                f'expected difference from {self.table_index}, '
                f'got difference from {delta.base_index}',
            )
        current_table = self.routes.table if self.routes else None
        self.routes = RouteIndex(apply_delta(current_table, delta))
        self.table_index = delta.index
        _LOG.info(
            'table in force',
            extra={
                'number': delta.number,
                'index': delta.index,
                'routes': len(self.routes.table.routes),
            },
        )
        self.evacuated.mark_known()

    def apply_transfers(self, update: MeshTransfers) -> list[str]:
        """Apply transfers and return the services with a new running one."""
        if update.index < self._transfers_index:
            return []
        self._transfers_index = update.index
        started = [
            transfer.service
            for transfer in update.transfers
            if transfer.state == TransferState.RUNNING
            and self._is_new(transfer)
        ]
        for transfer in update.transfers:
            self._log_change(transfer, update.index)
        self.transfers = {each.service: each for each in update.transfers}
        self.base_versions = update.base_versions
        self.rolled_back = update.rolled_back
        self.evacuated.apply(update)
        return started

    def apply_targets(self, update: MeshTargets) -> None:
        """Apply added, changed and removed targets.

        Explanation
        ===========

        A control instance that has just started knows only the nodes that
        have reached it so far. Targets that its full update does not contain
        are therefore kept for `RETENTION_S`; the node beside a target that
        left refuses its calls.
        """
        if update.full:
            self._retain_missing(update)
        for node in update.removed:
            self.targets_by_node.pop(node, None)
        for target in update.upserts:
            self._retained_until_s.pop(target.node, None)
            self.targets_by_node[target.node] = target
        self._index_targets()

    def discard_retained(self) -> None:
        """Remove the targets that no update has contained for a while."""
        now_s = _now()
        expired = [
            node
            for node, until_s in self._retained_until_s.items()
            if until_s <= now_s
        ]
        for node in expired:
            self._retained_until_s.pop(node)
            self.targets_by_node.pop(node, None)
        if expired:
            _LOG.info('targets not reported again', extra={'nodes': expired})
            self._index_targets()

    def ready_targets(self, service: str) -> list[MeshTarget]:
        """Return the targets of a service that accept calls."""
        ready = [
            target
            for target in self.targets_by_service.get(service, ())
            if target.state == MeshTargetState.READY
        ]
        return self.evacuated.select(ready)

    @property
    def limits(self) -> CallerLimits:
        """Limits on the requests of callers."""
        return self.routes.table.limits if self.routes else DEFAULT_LIMITS

    @property
    def has_accounts(self) -> bool:
        """Whether the table states client accounts."""
        return bool(self.routes and self.routes.table.accounts)

    @property
    def has_running_transfer(self) -> bool:
        """Whether any service has a running transfer."""
        return any(
            transfer.state == TransferState.RUNNING
            for transfer in self.transfers.values()
        )

    def _retain_missing(self, update: MeshTargets) -> None:
        contained = {target.node for target in update.upserts}
        until_s = _now() + RETENTION_S
        for node in self.targets_by_node.keys() - contained:
            self._retained_until_s.setdefault(node, until_s)

    def _index_targets(self) -> None:
        self.targets_by_service = {}
        for stored in self.targets_by_node.values():
            if stored.id:
                targets = self.targets_by_service.setdefault(stored.service, [])
                targets.append(stored)

    def _log_change(self, transfer: Transfer, index: int) -> None:
        previous = self.transfers.get(transfer.service)
        if previous is None or (
            (previous.version, previous.state, previous.share)
            != (transfer.version, transfer.state, transfer.share)
        ):
            _LOG.info(
                'transfer in force',
                extra={
                    'service': transfer.service,
                    'version': transfer.version,
                    'state': transfer.state,
                    'share': transfer.share,
                    'index': index,
                },
            )

    def _is_new(self, transfer: Transfer) -> bool:
        previous = self.transfers.get(transfer.service)
        return (
            previous is None
            or previous.version != transfer.version
            or previous.state != TransferState.RUNNING
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
