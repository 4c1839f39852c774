"""Configuration that each node reports as in force."""

from collections import defaultdict
from collections.abc import Callable
from typing import Final

from mustardspur_core.messages import Applied
from mustardspur_core.record import Record

NOT_CONNECTED: Final = 'not connected'
NOT_REPORTED: Final = 'connected, not reported yet'
_NO_REPORT: Final = frozenset((NOT_CONNECTED, NOT_REPORTED))


class NodeApplied(Record):
    """Newest report of a node on a service, with its control instance.

    Parameters
    ----------
    control : str
        Control instance that the node is or was connected to.
    node : str
        Identifier of the node.
    report : Applied
        The report.
    """

    __slots__ = ('control', 'node', 'report')
    control: str
    node: str
    report: Applied


class AppliedTable:
    """Newest report of each node and service."""

    __slots__ = ('_callbacks', '_rows')

    def __init__(self) -> None:
        """Initialise without reports."""
        self._rows: dict[str, dict[str, NodeApplied]] = defaultdict(dict)
        self._callbacks: list[Callable[[NodeApplied], None]] = []

    def on_change(self, callback: Callable[[NodeApplied], None]) -> None:
        """Register a callback for each new or changed report."""
        self._callbacks.append(callback)

    def put(self, row: NodeApplied) -> None:
        """Store a report, unless it is an outdated one.

        Another control instance replaces the report of a node only if the node
        reported to it: its old control instance may learn of the lost stream
        after the node reported to the new one.
        """
        rows = self._rows[row.report.service]
        earlier = rows.get(row.node)
        if earlier is not None:
            has_new_control = earlier.control != row.control
            if earlier == row or (
                has_new_control and row.report.reason in _NO_REPORT
            ):
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

    def remove(self, service: str, node: str) -> None:
        """Remove the report of a lost node on a service."""
        self._rows[service].pop(node, None)
