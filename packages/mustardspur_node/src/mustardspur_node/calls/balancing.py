"""Choice of a target for a call."""

from collections.abc import Callable, Sequence

from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.call_classes import LimitedClass
from mustardspur_node.calls.endpoints import Endpoint

Random = Callable[[], float]


class Balancer:
    """Chooses among the targets of one version.

    Explanation
    ===========

    Levels are tried nearest first; a farther one gets a call only where no
    nearer target has room. Within a level the better of two random targets
    is taken, by this node's own observations.

    Parameters
    ----------
    version : str
        Version that the targets run.
    levels : sequence of list of Endpoint
        Targets by distance, nearest first.
    uniform : callable
        Returns a random number from 0 to below 1.
    """

    __slots__ = ('_levels', '_uniform', 'endpoints', 'version')

    def __init__(
        self,
        version: str,
        levels: Sequence[list[Endpoint]],
        uniform: Random,
    ) -> None:
        """Leave out empty levels."""
        self.version = version
        self._levels = [level for level in levels if level]
        self._uniform = uniform
        self.endpoints = [
            endpoint for level in self._levels for endpoint in level
        ]

    def pick(
        self,
        call_class: LimitedClass,
        now: float,
        tried: Sequence[Endpoint] = (),
    ) -> Endpoint | None:
        """Return a target with room, None if there is none.

        Parameters
        ----------
        call_class : LimitedClass
            Class of the call.
        now : float
            Loop's clock in seconds.
        tried : sequence of Endpoint
            Targets that failed this call, taken only if no other has room.
        """
        for level in self._levels:
            endpoint = self._pick_of_two(level, call_class, now)
            if endpoint is not None and endpoint not in tried:
                return endpoint
            endpoint = self._best(level, call_class, now, tried)
            if endpoint is not None:
                return endpoint
        again = [one for one in tried if one in self.endpoints]
        return self._best(again, call_class, now, ())

    def seconds_per_call(self) -> float:
        """Return the time in which the targets together end one call."""
        usable = [one for one in self.endpoints if not one.ejection.until]
        if not usable:
            return 0
        per_second = sum(
            one.limit.current / one.seen.latency_ms for one in usable
        )
        return 1 / (per_second * MS_PER_S)

    def _pick_of_two(
        self,
        level: list[Endpoint],
        call_class: LimitedClass,
        now: float,
    ) -> Endpoint | None:
        if len(level) == 1:
            one = level[0]
            return one if one.has_room(call_class, now) else None
        one = self._draw(level, now)
        other = self._draw(level, now)
        if one is other:
            other = self._draw(level, now)
        if not one.has_room(call_class, now):
            return other if other.has_room(call_class, now) else None
        if one is other or other.score() >= one.score():
            return one
        return other if other.has_room(call_class, now) else one

    def _draw(self, level: list[Endpoint], now: float) -> Endpoint:
        endpoint = level[int(self._uniform() * len(level))]
        ramp = endpoint.ramp
        if ramp.active(now) and self._uniform() > ramp.share(now):
            return level[int(self._uniform() * len(level))]
        return endpoint

    def _best(
        self,
        level: Sequence[Endpoint],
        call_class: LimitedClass,
        now: float,
        tried: Sequence[Endpoint],
    ) -> Endpoint | None:
        open_endpoints = [
            endpoint
            for endpoint in level
            if endpoint not in tried and endpoint.has_room(call_class, now)
        ]
        return min(open_endpoints, key=Endpoint.score, default=None)
