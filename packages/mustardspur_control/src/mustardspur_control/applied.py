"""Which node has which configuration in force."""

from collections import defaultdict
from collections.abc import Callable
from typing import Final

from mustardspur_core.messages import Applied
from mustardspur_core.record import Record

NOT_CONNECTED: Final = 'not connected'
NOT_REPORTED: Final = 'connected, not reported yet'
_NO_REPORT: Final = frozenset((NOT_CONNECTED, NOT_REPORTED))


class NodeApplied(Record):
    """What a node reported for a service, and through whom.

    Parameters
    ----------
    control : str
        Control instance that the node is or was connected to.
    node : str
        Identifier of the node.
    report : Applied
        Its newest report.
    """

    __slots__ = ('control', 'node', 'report')
    control: str
    node: str
    report: Applied


class AppliedTable:
    """Newest report of each node and service."""

    __slots__ = ('_callbacks', '_rows')

    def __init__(self) -> None:
        """Start without reports."""
        self._rows: dict[str, dict[str, NodeApplied]] = defaultdict(dict)
        self._callbacks: list[Callable[[NodeApplied], None]] = []

    def on_change(self, callback: Callable[[NodeApplied], None]) -> None:
        """Call back with each row that is new or changed."""
        self._callbacks.append(callback)

    def put(self, row: NodeApplied) -> None:
        """Take a report; only a real one moves a node to another control."""
        rows = self._rows[row.report.service]
        held = rows.get(row.node)
        if held is not None:
            moved = held.control != row.control
            if held == row or (moved and row.report.reason in _NO_REPORT):
                return
        rows[row.node] = row
        for callback in self._callbacks:
            callback(row)

    def row(self, service: str, node: str) -> NodeApplied | None:
        """Return a node's newest report on a service."""
        return self._rows[service].get(node)

    def rows(self, service: str) -> list[NodeApplied]:
        """Return the newest report of each node on a service."""
        by_node = self._rows[service]
        return [by_node[node] for node in sorted(by_node)]

    def all_rows(self) -> list[NodeApplied]:
        """Return the newest report of each node on each service."""
        return [row for rows in self._rows.values() for row in rows.values()]

    def forget(self, service: str, node: str) -> None:
        """Drop a node that is gone for good."""
        self._rows[service].pop(node, None)
