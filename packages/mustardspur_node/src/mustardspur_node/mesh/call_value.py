"""Estimates until when the answer to a call keeps its value."""

from typing import Final

from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.record import Record

# Fraction of the objective that must be left for a call to count as in time.
IN_TIME_FRACTION: Final = 0.25
# Longest wait for a slot as a fraction of the objective. During a shortage of
# slots every call waits for up to this time; with a third of the objective
# most calls still end in time.
MAX_WAIT_FRACTION: Final = 1 / 3
# Calls with a short objective are mostly made within other calls. They may
# wait at least this long, since refusing one loses the work of the outer call.
MIN_WAIT_MS: Final = 60.0
# Added to the rank of late calls, so that all calls that can still be in time
# go before them; the answer to a late call is worth less.
LATE_RANK: Final = 1000
# Fraction of a route's calls that must state the longest time for the others
# to count as later attempts; a moving average over about fifty calls. The
# fraction is a third if callers retry twice, and a tenth if they retry more
# often.
MIN_LONGEST_FRACTION: Final = 0.08
# Upper bound for the calls that state just less than the longest time, as a
# multiple of the calls that state it. Where the stated times vary from call to
# call there are many more of them.
MAX_NEAR_RATIO: Final = 1.5
NEAR_FRACTION: Final = 0.97
MEAN_WEIGHT: Final = 0.02


class CallValue(Record):
    """Time in which a call is worth an answer, and its rank.

    Parameters
    ----------
    useful_ms : float
        Time in which an answer keeps its present value.
    rank : int
        Rank among waiting calls; lower ranks get a slot first.
    """

    __slots__ = ('useful_ms', 'rank')
    useful_ms: float
    rank: int


def max_wait_ms(route: MeshRoute) -> float:
    """Return the longest useful wait of a route's calls for a slot."""
    return max(MAX_WAIT_FRACTION * route.objective_ms, MIN_WAIT_MS)


class _StatedTimes:
    """Remaining times that the callers of a route state."""

    __slots__ = ('_at_longest', '_near_longest', 'longest_ms')

    def __init__(self) -> None:
        self.longest_ms: float = 0
        self._at_longest: float = 0
        self._near_longest: float = 0

    @property
    def distinguish_attempts(self) -> bool:
        """Whether the times distinguish first attempts from later ones."""
        if self._at_longest < MIN_LONGEST_FRACTION:
            return False
        return self._near_longest <= MAX_NEAR_RATIO * self._at_longest

    def record(self, stated_ms: float) -> None:
        """Add a stated time to the moving averages."""
        self.longest_ms = max(self.longest_ms, stated_ms)
        at_longest = stated_ms >= self.longest_ms
        near = not at_longest and stated_ms > NEAR_FRACTION * self.longest_ms
        self._at_longest += MEAN_WEIGHT * (at_longest - self._at_longest)
        self._near_longest += MEAN_WEIGHT * (near - self._near_longest)


class CallEvaluator:
    """Distinguishes late calls from calls that can still be in time.

    Explanation
    ===========

    A caller that retries after a refusal states the time that it still
    waits, not the time of its first attempt. If all callers of a route start
    with the same time, that is the longest time stated, and the difference
    to it has passed since a call's first attempt. Calls that targets make
    within other calls state what remains of the outer call's time, which
    varies, so no such conclusion is drawn for their routes.

    During a shortage of slots, calls in time go first and do not wait beyond
    their objective, since a queue of late calls would make all others late
    as well.
    """

    __slots__ = ('_times_by_route',)

    def __init__(self) -> None:
        """Initialise without stated times."""
        self._times_by_route: dict[str, _StatedTimes] = {}

    def evaluate(self, route: MeshRoute, stated_ms: float) -> CallValue:
        """Return the useful time and the rank of a call.

        Parameters
        ----------
        route : MeshRoute
            Route of the call.
        stated_ms : float
            Time that the caller still waits, as it states.
        """
        times = self._times_by_route.get(route.name)
        if times is None:
            times = _StatedTimes()
            self._times_by_route[route.name] = times
        times.record(stated_ms)
        wait_ms = min(stated_ms, route.timeout_ms)
        if not times.distinguish_attempts:
            return CallValue(useful_ms=wait_ms, rank=route.priority)
        left_ms = route.objective_ms - (times.longest_ms - stated_ms)
        if left_ms >= IN_TIME_FRACTION * route.objective_ms:
            return CallValue(
                useful_ms=min(wait_ms, left_ms),
                rank=route.priority,
            )
        return CallValue(useful_ms=wait_ms, rank=route.priority + LATE_RANK)

    def remove_routes_except(self, names: set[str]) -> None:
        """Discard the times of routes that are not in the table any more."""
        removed = self._times_by_route.keys() - names
        for name in removed:
            self._times_by_route.pop(name)
