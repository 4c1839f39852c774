"""Routing table of a service, compiled once for each view."""

from bisect import bisect
from collections.abc import Callable, Mapping
from itertools import accumulate
from typing import Final

from aiohttp import web
from mustardspur_core.profile.model import Route
from mustardspur_core.state import Move, MoveState
from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.balancing import Balancer, Random
from mustardspur_node.calls.budgets import RetryBudget
from mustardspur_node.calls.call_classes import LimitedClass
from mustardspur_node.calls.ejection import Ejector
from mustardspur_node.views import ServiceView

_SMOOTHING: Final = 0.1


class VersionPool:
    """The targets of one version with the policies on them."""

    __slots__ = ('balancer', 'ejector')

    def __init__(self, balancer: Balancer) -> None:
        """Eject within the targets that are balanced."""
        self.balancer = balancer
        self.ejector = Ejector(balancer.endpoints)


class Split:
    """Distribution of a target set over two versions.

    Parameters
    ----------
    old, new : VersionPool
        Versions that a move leads from and to; the same without a move.
    new_share : float
        Share of the new version.
    """

    __slots__ = ('new', 'new_share', 'old')

    def __init__(
        self,
        old: VersionPool,
        new: VersionPool,
        new_share: float,
    ) -> None:
        """Keep the share."""
        self.old = old
        self.new = new
        self.new_share = new_share

    def choose(self, uniform: Random) -> VersionPool:
        """Return a version by its share."""
        if self.new_share >= 1:
            return self.new
        if self.new_share <= 0 or not self.new.balancer.endpoints:
            return self.old
        return self.new if uniform() < self.new_share else self.old


class CompiledRoute:
    """A route with everything that its calls need.

    Parameters
    ----------
    route : Route
        The route of the profile.
    call_class : LimitedClass
        Its class.
    budget : RetryBudget
        Budget of its retry policy at this node.
    """

    __slots__ = (
        '_cumulative',
        '_headers',
        '_methods',
        '_prefix',
        '_splits',
        'attempts',
        'budget',
        'call_class',
        'hedge_after_s',
        'idempotent',
        'name',
        'timeout_s',
        'usual_ms',
        'view',
    )

    def __init__(
        self,
        view: ServiceView,
        route: Route,
        call_class: LimitedClass,
        budget: RetryBudget,
        splits_by_set: Mapping[str, Split],
    ) -> None:
        """Prepare the match and the weights."""
        policy = view.config.profile.retries[route.retry]
        weights = {name: part for name, part in route.weights.items() if part}
        self.view = view
        self.name = route.name
        self._prefix = route.path_prefix
        self._methods = frozenset(route.methods)
        self._headers = tuple(route.headers.items())
        self._splits = [splits_by_set[name] for name in weights]
        self._cumulative = list(accumulate(weights.values()))
        self.call_class = call_class
        self.budget = budget
        self.attempts = policy.attempts
        self.hedge_after_s = policy.hedge_after_ms / MS_PER_S
        self.idempotent = route.idempotent
        self.timeout_s = route.timeout_ms / MS_PER_S
        self.usual_ms: float = 0

    def matches(self, request: web.BaseRequest, path: str) -> bool:
        """Return whether a request takes this route."""
        if request.method not in self._methods:
            return False
        if not path.startswith(self._prefix):
            return False
        headers = request.headers
        return all(
            headers.get(name) == expected for name, expected in self._headers
        )

    def observe(self, latency_ms: float) -> None:
        """Move the usual latency of the route towards a latency."""
        self.usual_ms += (latency_ms - self.usual_ms) * _SMOOTHING

    def choose(self, uniform: Random) -> VersionPool:
        """Return the version that a call goes to."""
        if len(self._splits) == 1:
            return self._splits[0].choose(uniform)
        drawn = uniform() * self._cumulative[-1]
        return self._splits[bisect(self._cumulative, drawn)].choose(uniform)


class RouteTable:
    """All routes of a service's view, in order."""

    __slots__ = ('_routes', 'pools', 'view')

    def __init__(
        self,
        view: ServiceView,
        routes: list[CompiledRoute],
        pools: list[VersionPool],
    ) -> None:
        """Keep the view, by whose identity the table is cached."""
        self.view = view
        self.pools = pools
        self._routes = routes

    def match(self, request: web.BaseRequest) -> CompiledRoute | None:
        """Return the first route that fits a request."""
        path = request.path
        for route in self._routes:
            if route.matches(request, path):
                return route
        return None


def compile_splits(
    view: ServiceView,
    pool_of: Callable[[str], VersionPool],
) -> dict[str, Split]:
    """Return the split of each target set of a view.

    Parameters
    ----------
    view : ServiceView
        Profile with its moves and cut-offs.
    pool_of : callable
        Returns the pool of a version.
    """
    moves_by_set = {move.target_set: move for move in view.config.moves}
    splits = {}
    for name, target_set in view.config.profile.target_sets.items():
        move = moves_by_set.get(name)
        if move is None or move.to_version != target_set.version:
            pool = pool_of(target_set.version)
            splits[name] = Split(pool, pool, 1)
        else:
            old = pool_of(move.from_version)
            new = pool_of(move.to_version)
            splits[name] = Split(old, new, _new_share(move, view))
    return splits


def _new_share(move: Move, view: ServiceView) -> float:
    # The cut-off of a bad version needs no agreement, so it goes before any
    # state of the move that this node has heard of.
    if move.state == MoveState.TAKEN_BACK or move.id in view.cut_off_moves:
        return 0
    return 1 if move.state == MoveState.DONE else move.share
