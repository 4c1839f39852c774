"""Regions in which a call may be served."""

from collections.abc import Sequence

from mustardspur_core.mesh.model import MeshTarget, RoutingTable

from mustardspur_node.mesh.view import MeshView

_HomeSets = set[frozenset[str]]


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

    __slots__ = ('_by_service', '_of_accounts', '_table', '_view')

    def __init__(self, view: MeshView) -> None:
        """Initialise without a table."""
        self._view = view
        self._table: RoutingTable | None = None
        self._by_service: dict[str, _HomeSets] = {}
        # Accounts call any service.
        self._of_accounts: _HomeSets = set()

    def has_bound_calls(
        self,
        service: str,
        region: str,
        others: set[str],
    ) -> bool:
        """Return whether some calls may run in a region but not in all others.

        Parameters
        ----------
        service : str
            Service that is called.
        region : str
            The region.
        others : set of str
            Other regions with targets of the service.
        """
        table = self._view.routes.table if self._view.routes else None
        if table is not self._table:
            self._table = table
            self._index(table)
        homes = self._of_accounts | self._by_service.get(service, set())
        return any(region in each and not others <= each for each in homes)

    def _index(self, table: RoutingTable | None) -> None:
        self._by_service = {}
        self._of_accounts = set()
        if table is None:
            return
        for account in table.accounts.values():
            self._of_accounts.add(frozenset(account.home_regions))
        for route in table.routes.values():
            for share in route.shares:
                homes = self._by_service.setdefault(share.service, set())
                homes.add(frozenset(route.home_regions))
