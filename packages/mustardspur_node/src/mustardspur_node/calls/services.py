"""State of the called services that is preserved across views."""

import random
from collections.abc import Iterable

from mustardspur_core.profile.model import Profile
from mustardspur_core.settings.model import Settings

from mustardspur_node.calls.balancing import Balancer, UniformRandom
from mustardspur_node.calls.budgets import RetryBudget
from mustardspur_node.calls.call_classes import compile_call_classes
from mustardspur_node.calls.endpoint_sets import EndpointSet
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.links import LinkMeter
from mustardspur_node.calls.queues import CallQueue
from mustardspur_node.calls.routing import (
    CompiledRoute,
    RouteTable,
    VersionPool,
    compile_splits,
)
from mustardspur_node.views import ServiceView, ViewSource


class Service:
    """A called service with its compiled routing table and endpoints.

    Parameters
    ----------
    name : str
        Name of the service.
    settings : Settings
        Settings of the node.
    views : ViewSource
        Source of the views.
    meters_by_region : dict of LinkMeter
        Meters of the paid links, shared by all services of the node.
    uniform : callable
        Returns a random number in [0, 1).
    """

    __slots__ = (
        '_budgets_by_ratio',
        '_endpoints',
        '_table',
        '_uniform',
        '_views',
        'name',
        'queue',
    )

    def __init__(
        self,
        name: str,
        settings: Settings,
        views: ViewSource,
        meters_by_region: dict[str, LinkMeter],
        uniform: UniformRandom = random.random,
    ) -> None:
        """Initialise without a table, which the first call compiles."""
        self.name = name
        self._views = views
        self._uniform = uniform
        self._table: RouteTable | None = None
        self._endpoints = EndpointSet(settings, views, meters_by_region)
        self._budgets_by_ratio: dict[tuple[str, float], RetryBudget] = {}
        self.queue = CallQueue()

    @property
    def endpoints(self) -> Iterable[Endpoint]:
        """Endpoints of all targets in the table."""
        return self._endpoints.in_use

    @property
    def pools(self) -> list[VersionPool]:
        """Version pools of the table."""
        return self._table.pools if self._table else []

    def table(self) -> RouteTable | None:
        """Return the table of the view in force, None before the first view.

        The table is compiled only when the view has changed.
        """
        view = self._views.view(self.name)
        table = self._table
        if table is not None and table.view is view:
            return table
        if view is None:
            return None
        self._table = self._compile(view)
        self.queue.dispatch()
        return self._table

    async def close_drained(self) -> None:
        """Close connections of removed targets without calls in flight."""
        await self._endpoints.close_drained()

    async def close(self) -> None:
        """Close all connections."""
        await self._endpoints.close()

    def _compile(self, view: ServiceView) -> RouteTable:
        pools_by_version = self._pools(view)
        profile = view.config.profile
        splits_by_set = compile_splits(view, pools_by_version.__getitem__)
        classes_by_name = compile_call_classes(profile)
        routes = [
            CompiledRoute(
                view,
                route,
                classes_by_name[route.call_class],
                self._budget(profile, route.retry),
                splits_by_set,
            )
            for route in profile.routes
        ]
        return RouteTable(view, routes, list(pools_by_version.values()))

    def _pools(self, view: ServiceView) -> dict[str, VersionPool]:
        levels_by_version = self._endpoints.apply_view(view)
        return {
            version: VersionPool(Balancer(version, levels, self._uniform))
            for version, levels in levels_by_version.items()
        }

    def _budget(self, profile: Profile, policy: str) -> RetryBudget:
        ratio = profile.retries[policy].budget_ratio
        return self._budgets_by_ratio.setdefault(
            (policy, ratio),
            RetryBudget(ratio),
        )


class ServiceDirectory:
    """Directory of the services that this node calls.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    views : ViewSource
        Views in force.
    uniform : callable
        Returns a random number in [0, 1).
    """

    __slots__ = (
        '_settings',
        '_uniform',
        '_views',
        'meters_by_region',
        'services_by_name',
    )

    def __init__(
        self,
        settings: Settings,
        views: ViewSource,
        uniform: UniformRandom = random.random,
    ) -> None:
        """Initialise without services; each is added by its first call."""
        self._settings = settings
        self._views = views
        self._uniform = uniform
        self.meters_by_region: dict[str, LinkMeter] = {}
        self.services_by_name: dict[str, Service] = {}

    @property
    def services(self) -> Iterable[Service]:
        """All services called so far."""
        return self.services_by_name.values()

    def find(self, name: str | None) -> Service | None:
        """Return a service, None if it has no view.

        Parameters
        ----------
        name : str or None
            Name of the service; None for the node's own service.
        """
        name = name or self._settings.service
        if name is None:
            return None
        service = self.services_by_name.get(name)
        if service is None and self._views.view(name) is not None:
            service = Service(
                name,
                self._settings,
                self._views,
                self.meters_by_region,
                self._uniform,
            )
            self.services_by_name[name] = service
        return service
