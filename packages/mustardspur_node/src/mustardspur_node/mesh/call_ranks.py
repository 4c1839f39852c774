"""Ranks of waiting calls by priority and expected run time."""

import math
from typing import Final

from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.run_times import INITIAL_RUN_MS, RUN_TIME_WEIGHT

# Bounds the memory for mean run times; over a day a table can have many more
# routes.
MAX_ROUTES: Final = 256


class CallRanks:
    """Ranks of calls by priority and mean run time of their route.

    Explanation
    ===========

    While slots are short, the total value is highest if the calls with the
    highest value per slot time go first. Each step of priority halves the
    value of a call, so the rank is the priority plus the binary logarithm of
    the run time, rounded. Short calls are thus not starved by longer calls
    with a priority that is one step better. This matters for calls that a
    target makes within another call: refusing such a call loses the work of
    the outer one.
    """

    __slots__ = ('_mean_ms_by_route',)

    def __init__(self) -> None:
        """Initialise without run times."""
        self._mean_ms_by_route: dict[str, float] = {}

    def record(self, route: str, run_ms: float) -> None:
        """Add the time of a run to the moving average of its route."""
        means = self._mean_ms_by_route
        if route not in means and len(means) >= MAX_ROUTES:
            means.pop(next(iter(means)))
        mean_ms = means.get(route, INITIAL_RUN_MS)
        means[route] = mean_ms + RUN_TIME_WEIGHT * (run_ms - mean_ms)

    def run_ms(self, route: str) -> float:
        """Return the mean run time of a route."""
        return self._mean_ms_by_route.get(route, INITIAL_RUN_MS)

    def rank(self, route: str, priority: int) -> int:
        """Return the rank of a call; waiting calls of lower rank go first.

        Parameters
        ----------
        route : str
            Name of the call's route.
        priority : int
            Priority of the route, plus `LATE_RANK` for a late call.
        """
        mean_ms = self.run_ms(route)
        late, urgency = divmod(priority, LATE_RANK)
        rank_in_group = round(math.log2(max(mean_ms, 1)) + urgency)
        return late * LATE_RANK + rank_in_group
