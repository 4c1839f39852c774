"""Until when an answer to a call has its full value."""

from typing import Final

from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.record import Record

# Part of the objective that must be left for a call to count as in time.
IN_TIME_PART: Final = 0.25
# Added to the rank of calls that are late already: their answers are worth
# less than those of any call that can still be in time.
LATE_RANK: Final = 1000


class CallValue(Record):
    """How long a call is worth a wait, and its rank among waiting calls.

    Parameters
    ----------
    useful_ms : float
        Time within which an answer keeps the value that it has now.
    rank : int
        Lower ranks get a slot first.
    """

    __slots__ = ('useful_ms', 'rank')
    useful_ms: float
    rank: int


class CallValues:
    """Tells late calls from those that can still be in time.

    Explanation
    ===========

    A caller that comes back after a refusal states the time that it still
    waits, not when it first asked. The longest time that callers of a route
    state is that of first attempts; what a call lacks of it has passed.
    While targets are short of slots, calls in time go first and do not wait
    beyond their objective, since a queue of late calls makes all others
    late as well.
    """

    __slots__ = ('_longest_by_route',)

    def __init__(self) -> None:
        """Start without calls."""
        self._longest_by_route: dict[str, float] = {}

    def judge(self, route: MeshRoute, stated_ms: float) -> CallValue:
        """Return the value of a call.

        Parameters
        ----------
        stated_ms : float
            Time that the caller still waits.
        """
        longest_ms = self._longest_by_route.get(route.name, 0)
        if stated_ms > longest_ms:
            longest_ms = stated_ms
            self._longest_by_route[route.name] = stated_ms
        wait_ms = min(stated_ms, route.timeout_ms)
        left_ms = route.objective_ms - (longest_ms - stated_ms)
        if left_ms >= IN_TIME_PART * route.objective_ms:
            return CallValue(
                useful_ms=min(wait_ms, left_ms),
                rank=route.priority,
            )
        return CallValue(useful_ms=wait_ms, rank=route.priority + LATE_RANK)

    def forget_except(self, names: set[str]) -> None:
        """Drop what is known of routes that are gone."""
        gone = self._longest_by_route.keys() - names
        for name in gone:
            self._longest_by_route.pop(name)
