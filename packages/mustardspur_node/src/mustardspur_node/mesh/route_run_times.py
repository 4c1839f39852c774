"""Run times at one target by route, with its short slow periods."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_node.mesh.run_times import INITIAL_RUN_MS, RunTimes
from mustardspur_node.mesh.slow_periods import SlowPeriods

# Weights of the newest run in the moving averages of the usual run time of a
# route, of the pace and of the mix of routes. The pace follows a lasting
# change within about half a second of a full target.
USUAL_WEIGHT: Final = 0.02
PACE_WEIGHT: Final = 0.08
MIX_WEIGHT: Final = 0.02
# Part of its longest wait that a call behind others may expect. Of the calls
# that expect all of it, nearly a half find no slot in time and are refused
# after the wait.
EXPECTED_WAIT_FRACTION: Final = 0.75
# A run counts as this multiple of the usual time at most, so that runs which
# are long by chance barely change the averages.
MAX_RATIO: Final = 2.0
# Bounds the memory for run times; over a day a table can have many more
# routes.
MAX_ROUTES: Final = 256


class _UsualTime:
    """Moving average of the run times of a route."""

    __slots__ = ('count', 'mean_ms')

    def __init__(self, run_ms: float) -> None:
        self.mean_ms = run_ms
        self.count = 1

    def record(self, run_ms: float) -> None:
        """Add a run; the first ones count alike."""
        self.count += 1
        weight = max(USUAL_WEIGHT, 1 / self.count)
        self.mean_ms += weight * (run_ms - self.mean_ms)


class RouteRunTimes(RunTimes):
    """Run times relative to the usual time of their route.

    Explanation
    ===========

    A mean over runs of all routes depends on which routes the last runs were
    of, which differs from target to target at any moment. Here a run counts
    relative to the usual time of its route (the pace), and the pace is
    multiplied by the mean usual time of the routes that the target runs. The
    result is comparable between the targets of a service.
    """

    __slots__ = ('_mix_ms', '_pace', '_slow_periods', '_usual_by_route')

    def __init__(self) -> None:
        """Initialise without runs."""
        super().__init__()
        self._usual_by_route: dict[str, _UsualTime] = {}
        self._slow_periods = SlowPeriods()
        self._pace: float = 1
        self._mix_ms: float = 0

    @property
    def slow_factor(self) -> float:
        """How much slower than usual the target is for a short period."""
        return self._slow_periods.factor()

    @property
    def expected_wait_fraction(self) -> float:
        """Part of its longest wait that a call behind others may expect."""
        return EXPECTED_WAIT_FRACTION

    @property
    def expected_ms(self) -> float:
        """Run time for reports, times the factor of a short slow period."""
        return self.reported_ms * self.slow_factor

    @property
    def reported_ms(self) -> float:
        """Mean run time over the mix of routes, at the present pace.

        Other nodes keep a report for seconds, so it does not contain a short
        slow period; the slots that are reported as free do.
        """
        if not self._mix_ms:
            return INITIAL_RUN_MS
        return self._mix_ms * self._pace

    @contextmanager
    def tracked(self, route: str = '') -> Iterator[None]:
        """Count a run as open for the duration of a block."""
        usual = self._usual_by_route.get(route)
        with super().tracked(route):
            run_id = self._sequence
            usual_ms = usual.mean_ms if usual else float('inf')
            self._slow_periods.start(run_id, usual_ms)
            try:
                yield
            finally:
                self._slow_periods.end(run_id)

    def record(self, run_ms: float, *, failed: bool, route: str = '') -> None:
        """Add the outcome of a run to the moving averages."""
        super().record(run_ms, failed=failed, route=route)
        if not failed:
            self._record_answered(max(run_ms, 1), route)

    def usual_ms(self, route: str) -> float:
        """Return the usual time of a run of a route."""
        usual = self._usual_by_route.get(route)
        return usual.mean_ms if usual else super().usual_ms(route)

    def _record_answered(self, run_ms: float, route: str) -> None:
        usual = self._usual_by_route.get(route)
        if usual is None:
            self._add_route(run_ms, route)
            return
        ratio = min(run_ms / usual.mean_ms, MAX_RATIO)
        self._pace += PACE_WEIGHT * (ratio - self._pace)
        usual.record(ratio * usual.mean_ms)
        self._mix_ms += MIX_WEIGHT * (usual.mean_ms - self._mix_ms)

    def _add_route(self, run_ms: float, route: str) -> None:
        usual = self._usual_by_route
        if len(usual) >= MAX_ROUTES:
            usual.pop(next(iter(usual)))
        usual[route] = _UsualTime(run_ms)
        if self._mix_ms:
            self._mix_ms += MIX_WEIGHT * (run_ms - self._mix_ms)
        else:
            self._mix_ms = run_ms
