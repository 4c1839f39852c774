"""Faults of the new version of a service during a transfer."""

import random
from collections.abc import Callable
from typing import Protocol


class Run:
    """A run at a target.

    Parameters
    ----------
    run_ms : float
        Time until its answer at a target that runs nothing else.
    route : str
        Name of its route.
    at_s : float
        Time of its start since the order of the transfer.
    new_rate : float
        Rate of calls to the new version at its start, as a part of the usual
        rate of the service.
    is_small_class : bool
        Whether its call is of the smaller class.

    Attributes
    ----------
    failed : bool
        Whether it fails.
    """

    __slots__ = (
        'at_s',
        'failed',
        'is_small_class',
        'new_rate',
        'route',
        'run_ms',
    )

    def __init__(
        self,
        run_ms: float,
        route: str,
        at_s: float,
        new_rate: float,
        *,
        is_small_class: bool,
    ) -> None:
        """Initialise a healthy run."""
        self.run_ms = run_ms
        self.route = route
        self.at_s = at_s
        self.new_rate = new_rate
        self.is_small_class = is_small_class
        self.failed = False


class Fault(Protocol):
    """Changes runs at the targets of the new version."""

    def apply(self, run: Run, generator: random.Random, number: int) -> None:
        """Change a run at a target by its number."""


class Healthy:
    """Leaves all runs as they are."""

    def apply(self, run: Run, generator: random.Random, number: int) -> None:
        """Change nothing."""


class SlowPart:
    """Makes a part of the runs slower."""

    def __init__(self, part: float, factor: float) -> None:
        """Initialise with the part of the runs and their slowdown."""
        self._part = part
        self._factor = factor

    def apply(self, run: Run, generator: random.Random, number: int) -> None:
        """Slow the run down with the probability of the part."""
        if generator.random() < self._part:
            run.run_ms *= self._factor


class FailingPart:
    """Makes a part of the runs fail from a time on."""

    def __init__(self, part: float, from_s: float = 0) -> None:
        """Initialise with the part of the runs and the start of the fault."""
        self._part = part
        self._from_s = from_s

    def apply(self, run: Run, generator: random.Random, number: int) -> None:
        """Fail the run with the probability of the part."""
        if run.at_s >= self._from_s and generator.random() < self._part:
            run.failed = True


class SlowTarget:
    """Makes one target five times slower after some seconds."""

    def apply(self, run: Run, generator: random.Random, number: int) -> None:
        """Slow the run down if it is at the first target."""
        if number == 0 and run.at_s > 4:
            run.run_ms *= 5


class PartialFault:
    """Applies a fault to the runs that fulfil a condition."""

    def __init__(
        self, fault: Fault, is_affected: Callable[[Run], bool]
    ) -> None:
        """Initialise with the fault and the condition."""
        self._fault = fault
        self._is_affected = is_affected

    def apply(self, run: Run, generator: random.Random, number: int) -> None:
        """Apply the fault if the run fulfils the condition."""
        if self._is_affected(run):
            self._fault.apply(run, generator, number)
