"""Load balancing over the targets of one version."""

from collections.abc import Callable, Sequence

from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.call_classes import CompiledCallClass
from mustardspur_node.calls.endpoints import Endpoint

UniformRandom = Callable[[], float]


class Balancer:
    """Chooses among the targets of one version.

    Explanation
    ===========

    Levels are tried in order of distance; a farther level receives a call
    only if no nearer target has capacity. Within a level the target with the
    lower expected wait out of two random ones is chosen (power of two
    choices), as observed by this node.

    Parameters
    ----------
    version : str
        Version that the targets run.
    levels : sequence of list of Endpoint
        Targets by distance, nearest first.
    uniform : callable
        Returns a random number in [0, 1).
    """

    __slots__ = ('_levels', '_uniform', 'endpoints', 'version')

    def __init__(
        self,
        version: str,
        levels: Sequence[list[Endpoint]],
        uniform: UniformRandom,
    ) -> None:
        """Initialise the levels, without the empty ones."""
        self.version = version
        self._levels = [level for level in levels if level]
        self._uniform = uniform
        self.endpoints = [
            endpoint for level in self._levels for endpoint in level
        ]

    def pick(
        self,
        call_class: CompiledCallClass,
        now: float,
        tried: Sequence[Endpoint] = (),
    ) -> Endpoint | None:
        """Return a target with capacity, None if there is none.

        Parameters
        ----------
        call_class : CompiledCallClass
            Class of the call.
        now : float
            Time of the event loop in seconds.
        tried : sequence of Endpoint
            Targets that failed this call, chosen again only if no other
            target has capacity.
        """
        for level in self._levels:
            endpoint = self._pick_by_two_choices(level, call_class, now)
            if endpoint is not None and endpoint not in tried:
                return endpoint
            endpoint = self._pick_lowest_score(level, call_class, now, tried)
            if endpoint is not None:
                return endpoint
        again = [one for one in tried if one in self.endpoints]
        return self._pick_lowest_score(again, call_class, now, ())

    def seconds_per_call(self) -> float:
        """Return the mean time in seconds between two completed calls.

        This is the inverse of the throughput of all targets that are not
        ejected, 0 if there are none.
        """
        usable = [one for one in self.endpoints if not one.ejection.until]
        if not usable:
            return 0
        per_second = sum(
            one.limit.current / one.observations.latency_ms for one in usable
        )
        return 1 / (per_second * MS_PER_S)

    def _pick_by_two_choices(
        self,
        level: list[Endpoint],
        call_class: CompiledCallClass,
        now: float,
    ) -> Endpoint | None:
        if len(level) == 1:
            one = level[0]
            return one if one.has_capacity(call_class, now) else None
        one = self._draw(level, now)
        other = self._draw(level, now)
        if one is other:
            other = self._draw(level, now)
        if not one.has_capacity(call_class, now):
            return other if other.has_capacity(call_class, now) else None
        if one is other or other.score() >= one.score():
            return one
        return other if other.has_capacity(call_class, now) else one

    def _draw(self, level: list[Endpoint], now: float) -> Endpoint:
        endpoint = level[int(self._uniform() * len(level))]
        slow_start = endpoint.slow_start
        if slow_start.active(now) and self._uniform() > slow_start.share(now):
            return level[int(self._uniform() * len(level))]
        return endpoint

    def _pick_lowest_score(
        self,
        level: Sequence[Endpoint],
        call_class: CompiledCallClass,
        now: float,
        tried: Sequence[Endpoint],
    ) -> Endpoint | None:
        available = [
            endpoint
            for endpoint in level
            if endpoint not in tried and endpoint.has_capacity(call_class, now)
        ]
        return min(available, key=Endpoint.score, default=None)
