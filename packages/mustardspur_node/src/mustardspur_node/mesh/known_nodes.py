"""Number of nodes that share a budget."""

from mustardspur_node.mesh.view import MeshView


class KnownNodes:
    """Largest number of nodes that was known within a window.

    A node that is told of few nodes only, by a control instance that has just
    started, would otherwise use the parts of all others.

    Parameters
    ----------
    view : MeshView
        Nodes that are known now.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ('_largest', '_seen_s', '_view', '_window_s')

    def __init__(self, view: MeshView, window_s: float) -> None:
        """Initialise with one node, the own one."""
        self._view = view
        self._window_s = window_s
        self._largest = 1
        self._seen_s = float('-inf')

    def count(self, now_s: float) -> int:
        """Return the largest number, at least 1."""
        known = len(self._view.targets_by_node)
        if known >= self._largest or now_s > self._seen_s + self._window_s:
            self._largest = max(known, 1)
            self._seen_s = now_s
        return self._largest
