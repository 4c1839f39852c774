"""Endpoints of a service, preserved across views."""

import asyncio
from collections.abc import Iterable
from itertools import chain
from typing import Final

from mustardspur_core.locations import Distance, link_between
from mustardspur_core.settings.model import Settings
from mustardspur_core.state import Target, TargetState

from mustardspur_node.calls.channels import TargetChannel
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.links import LinkMeter
from mustardspur_node.calls.slow_start import NEW_TARGET_SLOW_START_S, SlowStart
from mustardspur_node.calls.subsets import choose_subset, position_of
from mustardspur_node.views import ServiceView, ViewSource

MAX_CONNECTIONS: Final = 110
_MIN_CONNECTIONS: Final = 2

_Key = tuple[str, str, int]
_Levels = list[list[Endpoint]]


class EndpointSet:
    """Endpoints of one service by the identity of their target.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    views : ViewSource
        Source of the view of the node's own service, which names its peers.
    meters_by_region : dict of LinkMeter
        Meters of the paid links, shared by all services of the node.
    """

    __slots__ = (
        '_draining',
        '_endpoints_by_key',
        '_meters_by_region',
        '_settings',
        '_views',
    )

    def __init__(
        self,
        settings: Settings,
        views: ViewSource,
        meters_by_region: dict[str, LinkMeter],
    ) -> None:
        """Initialise without endpoints."""
        self._settings = settings
        self._views = views
        self._meters_by_region = meters_by_region
        self._endpoints_by_key: dict[_Key, Endpoint] = {}
        self._draining: list[Endpoint] = []

    @property
    def in_use(self) -> Iterable[Endpoint]:
        """Endpoints of the newest view."""
        return self._endpoints_by_key.values()

    def apply_view(self, view: ServiceView) -> dict[str, _Levels]:
        """Apply a view and return the endpoints by version and level.

        A target that is also in the previous view keeps its endpoint with
        the observations of this node.
        """
        subsets_by_version = {
            version: self._levels(targets)
            for version, targets in view.targets_by_version.items()
        }
        every_level = chain.from_iterable(subsets_by_version.values())
        self._replace_endpoints(list(chain.from_iterable(every_level)))
        return {
            version: [self._endpoints_for(level) for level in levels]
            for version, levels in subsets_by_version.items()
        }

    async def close_drained(self) -> None:
        """Close connections of removed targets without calls in flight."""
        if not self._draining:
            return
        idle = [
            endpoint for endpoint in self._draining if not endpoint.in_flight
        ]
        self._draining = [
            endpoint for endpoint in self._draining if endpoint.in_flight
        ]
        await asyncio.gather(*(endpoint.channel.close() for endpoint in idle))

    async def close(self) -> None:
        """Close all connections."""
        endpoints = (*self.in_use, *self._draining)
        await asyncio.gather(
            *(endpoint.channel.close() for endpoint in endpoints)
        )

    def _endpoints_for(self, level: list[Target]) -> list[Endpoint]:
        return [self._endpoints_by_key[_key(target)] for target in level]

    def _levels(self, targets: list[Target]) -> list[list[Target]]:
        own = self._settings.location
        position = position_of(self._settings.id, self._peer_nodes())
        levels: list[list[Target]] = [[] for _ in Distance]
        for target in sorted(targets, key=_key):
            if target.state == TargetState.READY:
                levels[own.distance_to(target.location)].append(target)
        return [choose_subset(level, position) for level in levels]

    def _peer_nodes(self) -> list[str]:
        """Return the nodes of this node's own service and data centre."""
        own_service = self._settings.service
        view = self._views.view(own_service) if own_service else None
        if view is None:
            return []
        nodes = {
            target.node
            for targets in view.targets_by_version.values()
            for target in targets
            if target.data_centre == self._settings.data_centre
        }
        return list(nodes)

    def _replace_endpoints(self, targets: list[Target]) -> None:
        previous = self._endpoints_by_key
        limit = self._connections_per_target(len(targets))
        self._endpoints_by_key = {
            _key(target): previous.get(_key(target))
            or self._endpoint(target, limit, cold=bool(previous))
            for target in targets
        }
        self._draining.extend(
            endpoint
            for key, endpoint in previous.items()
            if key not in self._endpoints_by_key
        )

    def _connections_per_target(self, count: int) -> int:
        services = len(self._settings.calls) + 1
        return max(
            _MIN_CONNECTIONS,
            MAX_CONNECTIONS // (services * max(count, 1)),
        )

    def _endpoint(
        self,
        target: Target,
        limit: int,
        *,
        cold: bool,
    ) -> Endpoint:
        own = self._settings.location
        link_meter = None
        link = link_between(own, target.location)
        if link is not None:
            link_meter = self._meters_by_region.setdefault(
                target.region,
                LinkMeter(link),
            )
        return Endpoint(
            target,
            own.distance_to(target.location),
            link_meter,
            TargetChannel(target.address, limit),
            # The targets of the first view ran before this node did.
            SlowStart(
                asyncio.get_running_loop().time(),
                NEW_TARGET_SLOW_START_S if cold else 0,
            ),
        )


def _key(target: Target) -> _Key:
    return (target.id, target.address, target.incarnation)
