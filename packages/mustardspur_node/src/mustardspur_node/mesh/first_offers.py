"""Offers of a call that targets refused for want of a slot."""

import asyncio

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.units import MS_PER_S


class FirstOffers:
    """First offers of a call that were refused, and where it has waited.

    Attributes
    ----------
    leaves_region : bool or None
        Whether other regions are asked first, None until that is decided.
    refused : list of MeshTarget
        Targets that refused a first offer for want of a slot, oldest first.
    waited_nodes : set of str
        Addresses of the nodes that were asked to let the call wait.
    refused_wait_nodes : set of str
        Those of them that had no slot, at once or after a time.
    waited_ms : float
        Time that the call has spent in these waits, with the way.
    """

    __slots__ = (
        '_wait',
        'leaves_region',
        'refused',
        'refused_wait_nodes',
        'waited_ms',
        'waited_nodes',
    )

    def __init__(self) -> None:
        """Initialise without offers."""
        self.leaves_region: bool | None = None
        self.refused: list[MeshTarget] = []
        self.waited_nodes: set[str] = set()
        self.refused_wait_nodes: set[str] = set()
        self.waited_ms: float = 0
        # The wait that the call is placed for, None for a first offer.
        self._wait: tuple[str, float] | None = None

    def record_placement(self, node: str, *, is_first: bool) -> None:
        """Record that the call is placed on the target of a node."""
        self._wait = None
        if not is_first:
            self.waited_nodes.add(node)
            self._wait = (node, asyncio.get_running_loop().time())

    def record_busy(self) -> None:
        """Record that the target had no slot for the call in time."""
        if self._wait is not None:
            node, began_s = self._wait
            now_s = asyncio.get_running_loop().time()
            self.refused_wait_nodes.add(node)
            self.waited_ms += (now_s - began_s) * MS_PER_S
