"""Slots and rate limits of a target, and what calls use of them."""

import math
from typing import Final, NamedTuple

from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.cold_state import ColdState
from mustardspur_node.mesh.rate_limit import MIN_PER_S, StatedRateLimit

# Shorter delays are rounding errors; a timer would not advance the clock.
MIN_DELAY_S: Final = 1e-6


class ReportedCapacity(NamedTuple):
    """Capacity of a target as other nodes are told of it."""

    running: int
    slots: int
    run_ms: float


class TargetCapacity:
    """Slots and rate limits of a target; the lower limit applies.

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
    cold : ColdState
        Whether the target is cold, and the bound while it is.
    """

    __slots__ = ('cold', 'rate_limit', 'running', 'slots', 'started')

    def __init__(self, cold: ColdState | None = None) -> None:
        """Initialise without slots."""
        self.cold = cold or ColdState()
        self.slots = 0
        self.running = 0
        self.started = 0
        self.rate_limit = StatedRateLimit()

    @property
    def has_slot(self) -> bool:
        """Whether a slot is free."""
        return self.running < self.slots

    @property
    def is_overfull(self) -> bool:
        """Whether more calls and queries hold slots than there are."""
        return self.running > self.slots

    @property
    def can_start(self) -> bool:
        """Whether a call may start now."""
        return self.has_slot and not self.delay_s

    @property
    def delay_s(self) -> float:
        """Time until the limits allow a call, 0 if they allow it now."""
        delay_s = max(self.rate_limit.delay_s, self.cold.delay_s)
        return delay_s if delay_s > MIN_DELAY_S else 0

    @property
    def limit_per_s(self) -> float | None:
        """Calls a second by the lower of the limits, None without a limit."""
        stated_per_s = self.rate_limit.per_s
        if not self.cold.is_limiting:
            return stated_per_s
        if stated_per_s is None:
            return self.cold.per_s
        return min(stated_per_s, self.cold.per_s)

    def start(self) -> None:
        """Count a call that starts now."""
        self.running += 1
        self.started += 1
        self.rate_limit.record_call()
        self.cold.record_call()

    def reserve(self) -> None:
        """Take a slot for a query of the status, also if none is free."""
        self.running += 1

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
        wait_s = max(self.rate_limit.wait_s(ahead), self.cold.wait_s(ahead))
        wait_ms = wait_s * MS_PER_S
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
        limit_per_s = self.limit_per_s
        if limit_per_s is None:
            return ReportedCapacity(self.running, self.slots, run_ms)
        limited = limited_capacity(limit_per_s, self.slots, run_ms)
        running = limited.slots
        if self.can_start:
            running = min(self.running, limited.slots - 1)
        return limited._replace(running=running)


def limited_capacity(
    per_s: float,
    slots: int,
    run_ms: float,
) -> ReportedCapacity:
    """Return the slots and run time by which a rate is reported.

    Parameters
    ----------
    per_s : float
        Calls a second that the target accepts.
    slots : int
        Slots of the target.
    run_ms : float
        Mean run time in milliseconds.
    """
    interval_ms = MS_PER_S / max(per_s, MIN_PER_S)
    used = min(max(math.ceil(run_ms / interval_ms), 1), slots)
    return ReportedCapacity(0, used, max(run_ms, used * interval_ms))
