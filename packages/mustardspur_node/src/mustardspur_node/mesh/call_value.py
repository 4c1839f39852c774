"""Until when an answer to a call has its full value."""

from typing import Final

from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.record import Record

# Part of the objective that must be left for a call to count as in time.
IN_TIME_PART: Final = 0.25
# Longest wait for a slot, as a part of the objective. A queue that is short of
# slots for long makes every call wait as long as it lets them; with a third of
# the objective most of them still end in time.
WAIT_PART: Final = 1 / 3
# Calls with a short objective, most often made within other calls, wait at
# least this long, since a refusal loses the work of the call around them.
MIN_WAIT_MS: Final = 60.0
# Added to the rank of calls that are late already: their answers are worth
# less than those of any call that can still be in time.
LATE_RANK: Final = 1000
# Part of a route's calls that state the longest time, as a mean over about
# fifty calls. With callers that come back twice it is a third, with callers
# that repeat more often it falls to a tenth.
TELLING_PART: Final = 0.08
# Calls that state just less than the longest time, as a multiple of those that
# state it. Where times vary there are many more of them.
NEAR_RATIO: Final = 1.5
NEAR_PART: Final = 0.97
PART_WEIGHT: Final = 0.02


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


def longest_wait_ms(route: MeshRoute) -> float:
    """Return the longest useful wait of a route's calls for a slot."""
    return max(WAIT_PART * route.objective_ms, MIN_WAIT_MS)


class _StatedTimes:
    """Times that the callers of a route state."""

    __slots__ = ('_at_longest', '_near_longest', 'longest_ms')

    def __init__(self) -> None:
        self.longest_ms: float = 0
        self._at_longest: float = 0
        self._near_longest: float = 0

    @property
    def tell_attempts(self) -> bool:
        """Whether first attempts can be told from later ones."""
        if self._at_longest < TELLING_PART:
            return False
        return self._near_longest <= NEAR_RATIO * self._at_longest

    def note(self, stated_ms: float) -> None:
        """Take in what a caller states."""
        self.longest_ms = max(self.longest_ms, stated_ms)
        at_longest = stated_ms >= self.longest_ms
        near = not at_longest and stated_ms > NEAR_PART * self.longest_ms
        self._at_longest += PART_WEIGHT * (at_longest - self._at_longest)
        self._near_longest += PART_WEIGHT * (near - self._near_longest)


class CallValues:
    """Tells late calls from those that can still be in time.

    Explanation
    ===========

    A caller that comes back after a refusal states the time that it still
    waits, not when it first asked. Where callers of a route start with one
    and the same time, that is the longest one, and what a call lacks of it
    has passed. Calls that targets make within other calls state whatever is
    left of those, so nothing is concluded from them.

    While targets are short of slots, calls in time go first and do not wait
    beyond their objective, since a queue of late calls makes all others
    late as well.
    """

    __slots__ = ('_stated_by_route',)

    def __init__(self) -> None:
        """Start without calls."""
        self._stated_by_route: dict[str, _StatedTimes] = {}

    def judge(self, route: MeshRoute, stated_ms: float) -> CallValue:
        """Return the value of a call.

        Parameters
        ----------
        stated_ms : float
            Time that the caller still waits.
        """
        stated = self._stated_by_route.get(route.name)
        if stated is None:
            stated = _StatedTimes()
            self._stated_by_route[route.name] = stated
        stated.note(stated_ms)
        wait_ms = min(stated_ms, route.timeout_ms)
        if not stated.tell_attempts:
            return CallValue(useful_ms=wait_ms, rank=route.priority)
        left_ms = route.objective_ms - (stated.longest_ms - stated_ms)
        if left_ms >= IN_TIME_PART * route.objective_ms:
            return CallValue(
                useful_ms=min(wait_ms, left_ms),
                rank=route.priority,
            )
        return CallValue(useful_ms=wait_ms, rank=route.priority + LATE_RANK)

    def forget_except(self, names: set[str]) -> None:
        """Drop what is known of routes that are gone."""
        gone = self._stated_by_route.keys() - names
        for name in gone:
            self._stated_by_route.pop(name)
