"""Leases by the receiver's monotonic clock."""

from collections.abc import Callable
from typing import Final

from mustardspur_core.running_clock import RunningClock
from mustardspur_core.settings import Settings

# A node notices a lost control instance within silence_s, and reconnects and
# announces within a few delays of Busy, each below one lease.
SETTLING_LEASES: Final = 2
# A registry that learned a new holder this short a time ago may learn more.
QUIET_LEASES: Final = 0.5
MAX_SETTLING_LEASES: Final = 10


class Leases:
    """When each holder's targets expire, and when a restart is over.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance, for the length of a lease.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_ends', '_newest', '_settings', '_started')

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float],
    ) -> None:
        """Start without leases."""
        self._clock = RunningClock(clock)
        self._settings = settings
        self._ends: dict[str, float] = {}
        self._started = self._clock()
        self._newest = self._started

    @property
    def has_settled(self) -> bool:
        """Whether reconnecting nodes had the time to announce again."""
        lease_s = self._settings.intervals.lease_s
        now = self._clock()
        age = now - self._started
        if age >= MAX_SETTLING_LEASES * lease_s:
            return True
        wait_s = SETTLING_LEASES * lease_s + self._settings.intervals.silence_s
        return age >= wait_s and now - self._newest >= QUIET_LEASES * lease_s

    def renew(self, holder: str, length_s: float | None = None) -> None:
        """Let a holder's lease run from now."""
        now = self._clock()
        if holder not in self._ends:
            self._newest = now
        if length_s is None:
            length_s = self._settings.intervals.lease_s
        self._ends[holder] = now + length_s

    def keep(self, holder: str) -> None:
        """Let a holder's lease never end."""
        self._ends[holder] = float('inf')

    def pop_expired(self) -> list[str]:
        """Return and forget the holders whose lease has ended."""
        now = self._clock()
        expired = [holder for holder, end in self._ends.items() if end <= now]
        for holder in expired:
            self._ends.pop(holder)
        return expired
