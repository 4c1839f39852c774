"""The nodes that this control instance knows of, with their targets."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.mesh.model import MeshTarget

# Source of the rows of nodes that are attached to this instance.
OWN: Final = ''
# A control instance that is gone takes its nodes' rows with it after this
# time, in which they announce themselves at another one.
SOURCE_LINGER_S: Final = 6.0


class MeshRegistry:
    """Newest row of each node, by its stream.

    Explanation
    ===========

    A node is known from the control instance that it is attached to. While
    it changes from one to another, two of them report it, and the row with
    the highest incarnation and sequence holds.
    """

    __slots__ = ('_callbacks', '_rows_by_source', 'by_node')

    def __init__(self) -> None:
        """Start without nodes."""
        self._rows_by_source: dict[str, dict[str, MeshTarget]] = {}
        self._callbacks: list[Callable[[str], None]] = []
        self.by_node: dict[str, MeshTarget] = {}

    def put(self, source: str, row: MeshTarget) -> None:
        """Take over a row from a source."""
        self._rows_by_source.setdefault(source, {})[row.node] = row
        self._choose(row.node)

    def remove(self, source: str, node: str) -> None:
        """Drop the row of a node that left a source."""
        self._rows_by_source.get(source, {}).pop(node, None)
        self._choose(node)

    def take(self, source: str, update: MeshTargets) -> None:
        """Take over an update from another control instance."""
        kept = {row.node for row in update.upserts}
        if update.full:
            for gone in self.rows_of(source).keys() - kept:
                self.remove(source, gone)
        for node in update.removed:
            self.remove(source, node)
        for row in update.upserts:
            self.put(source, row)

    def rows_of(self, source: str) -> dict[str, MeshTarget]:
        """Return the rows that a source reports, by node."""
        return dict(self._rows_by_source.get(source, {}))

    def drop_later(self, source: str, has_returned: Callable[[], bool]) -> None:
        """Drop the rows of a source that is gone, unless it returns."""

        asyncio.get_running_loop().call_later(
            SOURCE_LINGER_S,
            self._drop_unless,
            source,
            has_returned,
        )

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a node's stream after each change of its row."""
        self._callbacks.append(callback)

    def _drop_unless(
        self,
        source: str,
        has_returned: Callable[[], bool],
    ) -> None:
        if not has_returned():
            for node in self.rows_of(source):
                self.remove(source, node)

    def _choose(self, node: str) -> None:
        rows = [
            by_node[node]
            for by_node in self._rows_by_source.values()
            if node in by_node
        ]
        newest = max(rows, key=_age_key, default=None)
        if newest == self.by_node.get(node):
            return
        if newest is None:
            self.by_node.pop(node, None)
        else:
            self.by_node[node] = newest
        for callback in self._callbacks:
            callback(node)


def _age_key(row: MeshTarget) -> tuple[int, int]:
    return row.incarnation, row.sequence
