"""Changes of registrations that have not been sent to a receiver yet."""

import asyncio

from mustardspur_core.mesh.control_messages import MeshTargets
from mustardspur_core.mesh.model import MeshTarget


class PendingUpdates:
    """Nodes whose registrations changed since the last update.

    Explanation
    ===========

    Only the nodes are stored, so that a slow receiver gets the newest
    registration of each node once, however often it changed.

    Parameters
    ----------
    wake : asyncio.Event
        Event that is set at each change.
    """

    __slots__ = ('_full', '_nodes', 'wake')

    def __init__(self, wake: asyncio.Event) -> None:
        """Initialise with a full update pending."""
        self._full = True
        self._nodes: set[str] = set()
        self.wake = wake

    def mark_changed(self, node: str) -> None:
        """Mark the registration of a node as changed or removed."""
        self._nodes.add(node)
        self.wake.set()

    def pop_update(
        self,
        by_node: dict[str, MeshTarget],
    ) -> MeshTargets | None:
        """Return the pending update and clear it, None if there is none.

        Parameters
        ----------
        by_node : dict of MeshTarget
            Current registrations. The first update contains all of them.
        """
        if self._full:
            self._full = False
            self._nodes.clear()
            return MeshTargets(
                full=True,
                upserts=list(by_node.values()),
                removed=[],
            )
        if not self._nodes:
            return None
        nodes = sorted(self._nodes)
        self._nodes.clear()
        return MeshTargets(
            full=False,
            upserts=[by_node[node] for node in nodes if node in by_node],
            removed=[node for node in nodes if node not in by_node],
        )
