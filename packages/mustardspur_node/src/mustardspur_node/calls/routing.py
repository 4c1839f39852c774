"""Routing table of a service, compiled for each view."""

from bisect import bisect
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import Final

from aiohttp import web
from mustardspur_core.profile.model import Route
from mustardspur_core.state import Move, MoveState
from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.balancing import Balancer, UniformRandom
from mustardspur_node.calls.budgets import RetryBudget
from mustardspur_node.calls.call_classes import CompiledCallClass
from mustardspur_node.calls.ejection import Ejector
from mustardspur_node.views import ServiceView

_SMOOTHING: Final = 0.1


class VersionPool:
    """Balancer and ejection policy of the targets of one version."""

    __slots__ = ('balancer', 'ejector')

    def __init__(self, balancer: Balancer) -> None:
        """Initialise the ejection policy for the targets of a balancer."""
        self.balancer = balancer
        self.ejector = Ejector(balancer.endpoints)


class TrafficSplit:
    """Distribution of the calls of a target set over two versions.

    Parameters
    ----------
    old, new : VersionPool
        Source and destination version of a move; the same without a move.
    new_share : float
        Share of the calls that go to the new version, from 0 to 1.
    """

    __slots__ = ('new', 'new_share', 'old')

    def __init__(
        self,
        old: VersionPool,
        new: VersionPool,
        new_share: float,
    ) -> None:
        """Initialise from the two versions and the share."""
        self.old = old
        self.new = new
        self.new_share = new_share

    def choose_pool(self, uniform: UniformRandom) -> VersionPool:
        """Return a version chosen at random by its share."""
        if self.new_share >= 1:
            return self.new
        if self.new_share <= 0 or not self.new.balancer.endpoints:
            return self.old
        return self.new if uniform() < self.new_share else self.old


class CompiledRoute:
    """A route with its match, weights, call class and retry policy.

    Parameters
    ----------
    view : ServiceView
        View that the route belongs to.
    route : Route
        Route of the profile.
    call_class : CompiledCallClass
        Call class of the route.
    budget : RetryBudget
        Budget of its retry policy at this node.
    splits_by_set : mapping of TrafficSplit
        Splits by name of the target set.
    """

    __slots__ = (
        '_cumulative_weights',
        '_headers',
        '_methods',
        '_prefix',
        '_splits',
        'attempts',
        'average_latency_ms',
        'budget',
        'call_class',
        'hedge_after_s',
        'idempotent',
        'name',
        'timeout_s',
        'view',
    )

    def __init__(
        self,
        view: ServiceView,
        route: Route,
        call_class: CompiledCallClass,
        budget: RetryBudget,
        splits_by_set: Mapping[str, TrafficSplit],
    ) -> None:
        """Initialise the match conditions and the cumulative weights."""
        policy = view.config.profile.retries[route.retry]
        weights = {name: part for name, part in route.weights.items() if part}
        self.view = view
        self.name = route.name
        self._prefix = route.path_prefix
        self._methods = frozenset(route.methods)
        self._headers = tuple(route.headers.items())
        self._splits = [splits_by_set[name] for name in weights]
        self._cumulative_weights = list(accumulate(weights.values()))
        self.call_class = call_class
        self.budget = budget
        self.attempts = policy.attempts
        self.hedge_after_s = policy.hedge_after_ms / MS_PER_S
        self.idempotent = route.idempotent
        self.timeout_s = route.timeout_ms / MS_PER_S
        self.average_latency_ms: float = 0

    def matches(self, request: web.BaseRequest, path: str) -> bool:
        """Return whether a request matches this route."""
        if request.method not in self._methods:
            return False
        if not path.startswith(self._prefix):
            return False
        headers = request.headers
        return all(
            headers.get(name) == expected for name, expected in self._headers
        )

    def record_latency(self, latency_ms: float) -> None:
        """Update the moving average of the route's latency."""
        self.average_latency_ms += (
            latency_ms - self.average_latency_ms
        ) * _SMOOTHING

    def choose_pool(self, uniform: UniformRandom) -> VersionPool:
        """Return the version of a call, chosen at random by the weights."""
        if len(self._splits) == 1:
            return self._splits[0].choose_pool(uniform)
        drawn = uniform() * self._cumulative_weights[-1]
        return self._splits[
            bisect(self._cumulative_weights, drawn)
        ].choose_pool(uniform)


class RouteTable:
    """All routes of a view, in the order of the profile."""

    __slots__ = ('_routes', 'pools', 'view')

    def __init__(
        self,
        view: ServiceView,
        routes: list[CompiledRoute],
        pools: list[VersionPool],
    ) -> None:
        """Initialise; the table is cached by the identity of its view."""
        self.view = view
        self.pools = pools
        self._routes = routes

    def match(self, request: web.BaseRequest) -> CompiledRoute | None:
        """Return the first route that matches a request."""
        path = request.path
        for route in self._routes:
            if route.matches(request, path):
                return route
        return None


def compile_splits(
    view: ServiceView,
    pool_of: Callable[[str], VersionPool],
) -> dict[str, TrafficSplit]:
    """Return the traffic splits of a view by name of the target set.

    Parameters
    ----------
    view : ServiceView
        View with the profile, its moves and cut-offs.
    pool_of : callable
        Returns the pool of a version.
    """
    moves_by_set = {move.target_set: move for move in view.config.moves}
    splits = {}
    for name, target_set in view.config.profile.target_sets.items():
        move = moves_by_set.get(name)
        if move is None or move.to_version != target_set.version:
            pool = pool_of(target_set.version)
            splits[name] = TrafficSplit(pool, pool, 1)
        else:
            old = pool_of(move.from_version)
            new = pool_of(move.to_version)
            splits[name] = TrafficSplit(old, new, _new_share(move, view))
    return splits


def _new_share(move: Move, view: ServiceView) -> float:
    # The cut-off of a bad version needs no agreement, so it takes precedence
    # over any state of the move that this node has received.
    if move.state == MoveState.TAKEN_BACK or move.id in view.cut_off_moves:
        return 0
    return 1 if move.state == MoveState.DONE else move.share
