"""What a node holds: routing table, transfers and targets."""

import asyncio
import logging
from typing import Final

from mustardspur_core.mesh.control_messages import (
    MeshTargets,
    MeshTransfers,
)
from mustardspur_core.mesh.model import (
    MeshRoute,
    MeshTarget,
    RoutingTable,
    TargetState,
    Transfer,
    TransferState,
)
from mustardspur_core.mesh.packing import TableDelta, apply_delta

_LOG: Final = logging.getLogger(__name__)


class RouteIndex:
    """Routes of a table by host and path prefix.

    Parameters
    ----------
    table : RoutingTable
        The table; it is not changed afterwards.
    """

    __slots__ = ('_by_host', 'table')

    def __init__(self, table: RoutingTable) -> None:
        """Index the routes."""
        self.table = table
        self._by_host: dict[str, dict[str, MeshRoute]] = {}
        for route in table.routes.values():
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> MeshRoute | None:
        """Return the route with the longest prefix of a path, if any."""
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
    """The node's state; it only ever moves forward.

    Explanation
    ===========

    Tables are replaced as a whole, so a call sees one table from its start
    to its end. A table with a lower index than the one in force is ignored.
    """

    __slots__ = (
        '_transfers_index',
        'base_versions',
        'by_service',
        'changed',
        'routes',
        'rows_by_node',
        'table_index',
        'transfers',
    )

    def __init__(self) -> None:
        """Start with nothing."""
        self.routes: RouteIndex | None = None
        self.table_index = 0
        self.transfers: dict[str, Transfer] = {}
        self.base_versions: dict[str, str] = {}
        self.rows_by_node: dict[str, MeshTarget] = {}
        self.by_service: dict[str, list[MeshTarget]] = {}
        self.changed = asyncio.Event()
        self._transfers_index = -1

    def take_table(self, delta: TableDelta) -> None:
        """Put a newer table in force."""
        if delta.index <= self.table_index:
            return
        if delta.base_index and delta.base_index != self.table_index:
            raise ValueError(
                f'difference from {delta.base_index}, '
                f'but {self.table_index} is in force',
            )
        held = self.routes.table if self.routes else None
        self.routes = RouteIndex(apply_delta(held, delta))
        self.table_index = delta.index
        _LOG.info(
            'table in force',
            extra={
                'number': delta.number,
                'index': delta.index,
                'routes': len(self.routes.table.routes),
            },
        )

    def take_transfers(self, update: MeshTransfers) -> list[str]:
        """Take over transfers; return the services with a new one."""
        if update.index < self._transfers_index:
            return []
        self._transfers_index = update.index
        begun = [
            transfer.service
            for transfer in update.transfers
            if transfer.state == TransferState.RUNNING
            and self._is_new(transfer)
        ]
        self.transfers = {each.service: each for each in update.transfers}
        self.base_versions = update.base_versions
        return begun

    def take_targets(self, update: MeshTargets) -> None:
        """Take over rows of nodes."""
        if update.full:
            self.rows_by_node = {}
        for node in update.removed:
            self.rows_by_node.pop(node, None)
        for row in update.upserts:
            self.rows_by_node[row.node] = row
        self.by_service = {}
        for known in self.rows_by_node.values():
            if known.id:
                rows = self.by_service.setdefault(known.service, [])
                rows.append(known)

    def ready_targets(self, service: str) -> list[MeshTarget]:
        """Return the targets of a service that take calls."""
        return [
            row
            for row in self.by_service.get(service, ())
            if row.state == TargetState.READY
        ]

    @property
    def runs_transfer(self) -> bool:
        """Whether a transfer of any service is running."""
        return any(
            transfer.state == TransferState.RUNNING
            for transfer in self.transfers.values()
        )

    def _is_new(self, transfer: Transfer) -> bool:
        known = self.transfers.get(transfer.service)
        return (
            known is None
            or known.version != transfer.version
            or known.state != TransferState.RUNNING
        )
