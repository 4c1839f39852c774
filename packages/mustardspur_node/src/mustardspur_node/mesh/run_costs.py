"""Ranks of waiting calls by their priority and the length of their runs."""

import math
from typing import Final

from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.run_times import FIRST_RUN_MS, TIME_WEIGHT

# Routes whose runs are remembered; a table may have many more over a day.
MAX_ROUTES: Final = 256


class RunCosts:
    """Mean time of a run at the target, by route.

    Explanation
    ===========

    While slots are short, serving the calls with the highest value for the
    time of a slot serves most value. A step of priority counts as half of the
    value, so a rank is the priority with the binary logarithm of the time,
    rounded: a short call is not starved by longer ones that are one step
    more urgent, as calls within calls would be, whose refusal loses the work
    of the call around them.
    """

    __slots__ = ('_mean_ms_by_route',)

    def __init__(self) -> None:
        """Start without runs."""
        self._mean_ms_by_route: dict[str, float] = {}

    def note(self, route: str, run_ms: float) -> None:
        """Take the time of a run into its route's mean."""
        means = self._mean_ms_by_route
        if route not in means and len(means) >= MAX_ROUTES:
            means.pop(next(iter(means)))
        mean_ms = means.get(route, FIRST_RUN_MS)
        means[route] = mean_ms + TIME_WEIGHT * (run_ms - mean_ms)

    def rank(self, route: str, priority: int) -> int:
        """Return the rank of a call among those that wait, 0 goes first.

        Parameters
        ----------
        route : str
            Name of the call's route.
        priority : int
            Priority of the route, above `LATE_RANK` for a late call.
        """
        mean_ms = self._mean_ms_by_route.get(route, FIRST_RUN_MS)
        late, urgency = divmod(priority, LATE_RANK)
        length = round(math.log2(max(mean_ms, 1)) + urgency)
        return late * LATE_RANK + length
