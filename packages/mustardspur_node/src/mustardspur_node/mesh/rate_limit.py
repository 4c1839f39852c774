"""Rate of calls that a target accepts, as its answers state it."""

import asyncio
import math
from typing import Final

from mustardspur_core.units import MS_PER_S

# Calls that may follow each other at once, as the time in which the limit
# allows them. Callers do not call at even distances.
BURST_S: Final = 0.25
# Rate that is used below it: only the answer to a call tells that a limit has
# ended.
MIN_PER_S: Final = 0.5


class StatedRateLimit:
    """Rate limit that the local target states in its answers.

    Explanation
    ===========

    A limit holds until an answer states another one or none. An answer
    without a limit to a call that was sent before the limit was last stated
    says nothing about the time since.

    Calls are spaced by the generic cell rate algorithm: each call moves the
    time up to which the rate is used up, which may be `BURST_S` ahead.

    Attributes
    ----------
    per_s : float or None
        Calls a second that the target accepts from all nodes together, None
        without a limit.
    """

    __slots__ = ('_stated_s', '_used_up_to_s', 'per_s')

    def __init__(self) -> None:
        """Initialise without a limit."""
        self._stated_s: float = 0
        self._used_up_to_s: float = 0
        self.per_s: float | None = None

    def record(self, per_s: float | None, sent_s: float) -> bool:
        """Apply what an answer states.

        Parameters
        ----------
        per_s : float or None
            Calls a second that the answer states, None if it states none.
        sent_s : float
            Time on the event loop's clock at which the call was sent.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        if per_s is None and sent_s < self._stated_s:
            return False
        previous = self.per_s
        self.per_s = per_s
        if per_s is not None:
            self._stated_s = _now()
            if previous is None:
                # The calls before the statement count as a burst.
                self._used_up_to_s = self._stated_s + BURST_S
        return per_s != previous

    def record_call(self) -> None:
        """Count a call that is sent now."""
        start_s = max(self._used_up_to_s, _now())
        self._used_up_to_s = start_s + self.interval_s

    @property
    def interval_s(self) -> float:
        """Mean time between two calls at the limit, 0 without a limit."""
        if self.per_s is None:
            return 0
        return 1 / max(self.per_s, MIN_PER_S)

    @property
    def delay_s(self) -> float:
        """Time until the next call may be sent, 0 if it may be sent now."""
        if self.per_s is None:
            return 0
        return max(self._used_up_to_s - BURST_S - _now(), 0)

    def wait_ms(self, ahead: int) -> float:
        """Return how long a call waits behind a number of others."""
        return (self.delay_s + ahead * self.interval_s) * MS_PER_S

    def usable_slots(self, slots: int, run_ms: float) -> int:
        """Return how many slots of the target the limit keeps in use.

        Parameters
        ----------
        slots : int
            Slots of the target.
        run_ms : float
            Mean run time in milliseconds.
        """
        if self.per_s is None:
            return slots
        used = math.ceil(run_ms / (self.interval_s * MS_PER_S))
        return min(max(used, 1), slots)


def _now() -> float:
    return asyncio.get_running_loop().time()


def parse_rate(text: str) -> float:
    """Return the rate of a header value in calls a second.

    Raises
    ------
    ValueError
        If the value is not a finite number of at least 0.
    """
    rate = float(text)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f'expected a rate of at least 0, found {text!r}')
    return rate
