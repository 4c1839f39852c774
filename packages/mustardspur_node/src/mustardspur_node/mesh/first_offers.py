"""Offers of a call to targets that are asked not to let it wait."""

from mustardspur_core.mesh.model import MeshTarget


class FirstOffers:
    """First offers of a call that were refused, and where it has waited.

    Attributes
    ----------
    refused : list of MeshTarget
        Targets that refused a first offer for want of a slot, oldest first.
    waited_nodes : set of str
        Addresses of the nodes that were asked to let the call wait.
    """

    __slots__ = ('refused', 'waited_nodes')

    def __init__(self) -> None:
        """Initialise without offers."""
        self.refused: list[MeshTarget] = []
        self.waited_nodes: set[str] = set()
