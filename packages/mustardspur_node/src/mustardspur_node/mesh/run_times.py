"""Times and failures of the runs at one target."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.units import MS_PER_S

# Weight of the newest run in the mean time and in the part that failed.
TIME_WEIGHT: Final = 0.12
FAILURE_WEIGHT: Final = 0.06
# Mean time of a run before the first one has ended.
FIRST_RUN_MS: Final = 50.0
# Ages of fewer open runs, or below this multiple of the mean, are common at a
# sound target whose runs differ in length.
MIN_OPEN: Final = 3
SLOW_AGES: Final = 2.5


class RunTimes:
    """Means over the latest runs, and the ages of the open ones."""

    __slots__ = ('_began_s', '_mean_ms', '_sequence', 'failure_rate')

    def __init__(self) -> None:
        """Start without runs."""
        self._mean_ms = FIRST_RUN_MS
        self._began_s: dict[int, float] = {}
        self._sequence = 0
        self.failure_rate: float = 0

    @property
    def expected_ms(self) -> float:
        """Mean time of a run, or mean age of the open ones if far above.

        A target that turns slow ends few runs, so the ages of those that
        are open show it first.
        """
        count = len(self._began_s)
        if count < MIN_OPEN:
            return self._mean_ms
        age_ms = (_now() - sum(self._began_s.values()) / count) * MS_PER_S
        return age_ms if age_ms > SLOW_AGES * self._mean_ms else self._mean_ms

    @contextmanager
    def timed(self) -> Iterator[None]:
        """Count the age of a run while a block lasts."""
        self._sequence += 1
        number = self._sequence
        self._began_s[number] = _now()
        try:
            yield
        finally:
            self._began_s.pop(number)

    def note(self, run_ms: float, *, failed: bool) -> None:
        """Take the outcome of a run into the means."""
        if not failed:
            self._mean_ms += TIME_WEIGHT * (run_ms - self._mean_ms)
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)


def _now() -> float:
    return asyncio.get_running_loop().time()
