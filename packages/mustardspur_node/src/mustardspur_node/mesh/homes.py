"""Regions in which a call may be served."""

from collections.abc import Sequence

from mustardspur_core.mesh.model import MeshTarget, RoutingTable

from mustardspur_node.mesh.view import MeshView


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


class RestrictedRegions:
    """Regions to which routes and accounts of the table restrict calls.

    Parameters
    ----------
    view : MeshView
        View with the table in force.
    """

    __slots__ = ('_by_service', '_of_all', '_table', '_view')

    def __init__(self, view: MeshView) -> None:
        """Initialise without a table."""
        self._view = view
        self._table: RoutingTable | None = None
        self._by_service: dict[str, set[str]] = {}
        # Regions of accounts, whose calls may be of any service.
        self._of_all: set[str] = set()

    def of_service(self, service: str) -> set[str]:
        """Return the regions to which calls to a service are restricted."""
        table = self._view.routes.table if self._view.routes else None
        if table is not self._table:
            self._table = table
            self._index(table)
        return self._by_service.get(service, self._of_all)

    def _index(self, table: RoutingTable | None) -> None:
        self._by_service = {}
        self._of_all = set()
        if table is None:
            return
        for account in table.accounts.values():
            self._of_all.update(account.home_regions)
        for route in table.routes.values():
            for share in route.shares:
                regions = self._by_service.setdefault(
                    share.service, set(self._of_all)
                )
                regions.update(route.home_regions)
