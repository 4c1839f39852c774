"""Faults of the new version of a service during a transfer."""

import random
from typing import Protocol


class Run:
    """A run at a target of the new version.

    Attributes
    ----------
    run_ms : float
        Time until its answer.
    failed : bool
        Whether it fails.
    """

    __slots__ = ('failed', 'run_ms')

    def __init__(self, run_ms: float) -> None:
        """Initialise a healthy run."""
        self.run_ms = run_ms
        self.failed = False


class Fault(Protocol):
    """Changes runs at the targets of the new version."""

    def apply(
        self, run: Run, generator: random.Random, now_s: float, number: int
    ) -> None:
        """Change a run at a target by its number and the time of the play."""


class Healthy:
    """Leaves all runs as they are."""

    def apply(
        self, run: Run, generator: random.Random, now_s: float, number: int
    ) -> None:
        """Change nothing."""


class SlowPart:
    """Makes a part of the runs slower."""

    def __init__(self, part: float, factor: float) -> None:
        """Initialise with the part of the runs and their slowdown."""
        self._part = part
        self._factor = factor

    def apply(
        self, run: Run, generator: random.Random, now_s: float, number: int
    ) -> None:
        """Slow the run down with the probability of the part."""
        if generator.random() < self._part:
            run.run_ms *= self._factor


class FailingPart:
    """Makes a part of the runs fail from a time on."""

    def __init__(self, part: float, from_s: float) -> None:
        """Initialise with the part of the runs and the start of the fault."""
        self._part = part
        self._from_s = from_s

    def apply(
        self, run: Run, generator: random.Random, now_s: float, number: int
    ) -> None:
        """Fail the run with the probability of the part."""
        if now_s >= self._from_s and generator.random() < self._part:
            run.failed = True


class SlowTarget:
    """Makes one target five times slower after some seconds."""

    def apply(
        self, run: Run, generator: random.Random, now_s: float, number: int
    ) -> None:
        """Slow the run down if it is at the first target."""
        if number == 0 and now_s > 4:
            run.run_ms *= 5
