"""Leases, measured by the monotonic clock of the receiver."""

from collections.abc import Callable
from typing import Final

from mustardspur_core.running_clock import RunningClock
from mustardspur_core.settings import Settings

# A node detects the loss of its control instance within silence_s. It then
# reconnects and announces after a few Busy delays, each below one lease.
SETTLING_LEASES: Final = 2
# After a new holder appears, others may follow within this time.
QUIET_LEASES: Final = 0.5
MAX_SETTLING_LEASES: Final = 10


class Leases:
    """End of each holder's lease, and whether all holders have announced.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance, for the length of a lease.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = (
        '_clock',
        '_end_s_by_holder',
        '_newest_holder_s',
        '_settings',
        '_started_s',
    )

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float],
    ) -> None:
        """Initialise without leases, with the current time as the start."""
        self._clock = RunningClock(clock)
        self._settings = settings
        self._end_s_by_holder: dict[str, float] = {}
        self._started_s = self._clock()
        self._newest_holder_s = self._started_s

    @property
    def has_settled(self) -> bool:
        """Whether nodes had enough time to reconnect and announce."""
        lease_s = self._settings.intervals.lease_s
        now_s = self._clock()
        age_s = now_s - self._started_s
        if age_s >= MAX_SETTLING_LEASES * lease_s:
            return True
        min_age_s = (
            SETTLING_LEASES * lease_s + self._settings.intervals.silence_s
        )
        return (
            age_s >= min_age_s
            and now_s - self._newest_holder_s >= QUIET_LEASES * lease_s
        )

    def renew(self, holder: str, length_s: float | None = None) -> None:
        """Start or renew a holder's lease; by default for ``lease_s``."""
        now_s = self._clock()
        if holder not in self._end_s_by_holder:
            self._newest_holder_s = now_s
        if length_s is None:
            length_s = self._settings.intervals.lease_s
        self._end_s_by_holder[holder] = now_s + length_s

    def hold_indefinitely(self, holder: str) -> None:
        """Set a lease without an end for a holder."""
        self._end_s_by_holder[holder] = float('inf')

    def pop_expired(self) -> list[str]:
        """Remove and return the holders whose lease has ended."""
        now_s = self._clock()
        expired = [
            holder
            for holder, end_s in self._end_s_by_holder.items()
            if end_s <= now_s
        ]
        for holder in expired:
            self._end_s_by_holder.pop(holder)
        return expired
