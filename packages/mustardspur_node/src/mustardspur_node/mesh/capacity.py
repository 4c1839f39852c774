"""Slots and rate limit of a target, and what calls use of them."""

from typing import NamedTuple

from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.rate_limit import StatedRateLimit


class ReportedCapacity(NamedTuple):
    """Capacity of a target as other nodes are told of it."""

    running: int
    slots: int
    run_ms: float


class TargetCapacity:
    """Slots and rate limit of a target.

    Attributes
    ----------
    slots : int
        Number of calls that may run at a time.
    running : int
        Number of calls that run.
    started : int
        Calls that were started since the start of the node.
    rate_limit : StatedRateLimit
        Rate limit that the target states.
    """

    __slots__ = ('rate_limit', 'running', 'slots', 'started')

    def __init__(self) -> None:
        """Initialise without slots."""
        self.slots = 0
        self.running = 0
        self.started = 0
        self.rate_limit = StatedRateLimit()

    @property
    def has_slot(self) -> bool:
        """Whether a slot is free."""
        return self.running < self.slots

    @property
    def can_start(self) -> bool:
        """Whether a call may start now."""
        return self.has_slot and not self.rate_limit.delay_s

    def start(self) -> None:
        """Count a call that starts now."""
        self.running += 1
        self.started += 1
        self.rate_limit.record_call()

    def finish(self) -> None:
        """Count the end of a call."""
        self.running -= 1

    def expected_wait_ms(self, ahead: int, run_ms: float) -> float:
        """Return the expected wait of a call behind a number of others.

        Parameters
        ----------
        ahead : int
            Number of calls that go first.
        run_ms : float
            Expected run time of a call in milliseconds.
        """
        wait_ms = self.rate_limit.wait_ms(ahead)
        if self.has_slot:
            return wait_ms
        return max(wait_ms, (ahead + 1) * run_ms / max(self.slots, 1))

    def reported(self, run_ms: float) -> ReportedCapacity:
        """Return the capacity for load reports.

        A rate limit is reported as the slots that it keeps in use, with runs
        of a length that gives its rate, so that other nodes need not know it.
        All of these slots are in use while the rate is used up.

        Parameters
        ----------
        run_ms : float
            Expected run time of a call in milliseconds.
        """
        if self.rate_limit.per_s is None:
            return ReportedCapacity(self.running, self.slots, run_ms)
        slots = self.rate_limit.usable_slots(self.slots, run_ms)
        running = min(self.running, slots - 1) if self.can_start else slots
        least_ms = slots * self.rate_limit.interval_s * MS_PER_S
        return ReportedCapacity(running, slots, max(run_ms, least_ms))
