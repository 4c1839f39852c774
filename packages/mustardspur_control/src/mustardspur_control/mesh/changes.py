"""Changes of rows that one reader has not been sent yet."""

import asyncio

from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.mesh.model import MeshTarget


class PendingRows:
    """Nodes whose rows changed since the last message to a reader.

    Explanation
    ===========

    Only the names of the nodes are kept, so a slow reader gets the newest
    row of each once, however often it changed.
    """

    __slots__ = ('_full', '_nodes', 'wake')

    def __init__(self, wake: asyncio.Event) -> None:
        """Start with everything unsent."""
        self._full = True
        self._nodes: set[str] = set()
        self.wake = wake

    def note(self, node: str) -> None:
        """Mark a node as changed."""
        self._nodes.add(node)
        self.wake.set()

    def take(self, rows_by_node: dict[str, MeshTarget]) -> MeshTargets | None:
        """Return what the reader lacks, None if that is nothing."""
        if self._full:
            self._full = False
            self._nodes.clear()
            return MeshTargets(
                full=True,
                upserts=list(rows_by_node.values()),
                removed=[],
            )
        if not self._nodes:
            return None
        nodes = sorted(self._nodes)
        self._nodes.clear()
        return MeshTargets(
            full=False,
            upserts=[
                rows_by_node[node] for node in nodes if node in rows_by_node
            ],
            removed=[node for node in nodes if node not in rows_by_node],
        )
