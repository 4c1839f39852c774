"""Regions in which a call may be served."""

from collections.abc import Sequence

from mustardspur_core.mesh.model import MeshTarget


class Homes:
    """Regions that all of several lists allow.

    Explanation
    ===========

    The body of a call is sent to targets in these regions only, also at a
    retry. The route and the client account of a call each have a list, and
    both bind. An empty list allows all regions, but lists without a common
    region allow none.

    Parameters
    ----------
    region_lists : sequence of str
        Allowed regions, as each of the call's rules lists them.
    """

    __slots__ = ('_allowed',)

    def __init__(self, *region_lists: Sequence[str]) -> None:
        """Initialise with the regions common to all lists that are stated."""
        stated = [frozenset(regions) for regions in region_lists if regions]
        self._allowed = frozenset.intersection(*stated) if stated else None

    def __str__(self) -> str:
        """Return the allowed regions for log lines."""
        if self._allowed is None:
            return 'any region'
        return ', '.join(sorted(self._allowed)) or 'a region of all lists'

    def select(self, targets: list[MeshTarget]) -> list[MeshTarget]:
        """Return the targets in the allowed regions."""
        if self._allowed is None:
            return targets
        return [target for target in targets if target.region in self._allowed]
