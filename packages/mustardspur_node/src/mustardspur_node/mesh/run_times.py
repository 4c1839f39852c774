"""Run times and failure rate of the runs at one target."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.units import MS_PER_S

# Weight of the newest run in the moving averages of run time and failures.
RUN_TIME_WEIGHT: Final = 0.12
FAILURE_WEIGHT: Final = 0.06
# Assumed mean run time before the first run has ended.
INITIAL_RUN_MS: Final = 50.0
# The ages of open runs are used only from this number of runs on and above
# this multiple of the mean; smaller values are common at a healthy target
# whose runs differ in length.
MIN_OPEN_RUNS: Final = 3
SLOW_FACTOR: Final = 2.5
# A run that has no answer at its deadline has failed from this multiple of the
# usual run time on. Shorter ones may be those of a full target.
HANGING_FACTOR: Final = 4.0


class RunTimes:
    """Moving averages of the ended runs and the ages of the open runs.

    Attributes
    ----------
    failure_rate : float
        Moving average of the part of runs that failed, from 0 to 1.
    """

    __slots__ = ('_mean_ms', '_sequence', '_started_s_by_run', 'failure_rate')

    def __init__(self) -> None:
        """Initialise without runs."""
        self._mean_ms = INITIAL_RUN_MS
        self._started_s_by_run: dict[int, float] = {}
        self._sequence = 0
        self.failure_rate: float = 0

    @property
    def expected_ms(self) -> float:
        """Mean run time, or the mean age of open runs if it is far higher.

        At a target that becomes slow few runs end, so the ages of the open
        runs show the slowdown before the mean run time does.
        """
        count = len(self._started_s_by_run)
        if count < MIN_OPEN_RUNS:
            return self._mean_ms
        age_ms = (
            _now() - sum(self._started_s_by_run.values()) / count
        ) * MS_PER_S
        return age_ms if age_ms > SLOW_FACTOR * self._mean_ms else self._mean_ms

    @property
    def expected_wait_fraction(self) -> float:
        """Part of its longest wait that a call behind others may expect.

        Always 1 here; most calls that expect just less than their longest
        wait are refused at its end or are late.
        """
        return 1

    @property
    def reported_ms(self) -> float:
        """Run time for load reports."""
        return self.expected_ms

    @property
    def slow_factor(self) -> float:
        """How much slower than usual the target is for a short period.

        Always 1 here, where short slow periods are not detected.
        """
        return 1

    @contextmanager
    def tracked(self, route: str = '') -> Iterator[None]:
        """Count a run of a route as open for the duration of a block."""
        self._sequence += 1
        run_id = self._sequence
        self._started_s_by_run[run_id] = _now()
        try:
            yield
        finally:
            self._started_s_by_run.pop(run_id)

    def record(self, run_ms: float, *, failed: bool, route: str = '') -> None:
        """Add the outcome of a run to the moving averages."""
        if not failed:
            self._mean_ms += RUN_TIME_WEIGHT * (run_ms - self._mean_ms)
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def usual_ms(self, route: str) -> float:
        """Return the usual time of a run of a route."""
        return self._mean_ms

    def is_hanging(self, run_ms: float, route: str) -> bool:
        """Return whether a run that was not answered is far too long."""
        return run_ms > HANGING_FACTOR * self.usual_ms(route)


def _now() -> float:
    return asyncio.get_running_loop().time()
