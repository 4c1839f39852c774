"""Spacing of calls by a rate, and the rate that a target states."""

import asyncio
import math
from typing import Final

from mustardspur_core.texts import parse_number, show

# Calls that may follow each other at once, as the time in which the limit
# allows them. Callers do not call at even distances.
BURST_S: Final = 0.25
# Rate that is used below it: only the answer to a call tells that a limit has
# ended.
MIN_PER_S: Final = 0.5


class CallSpacing:
    """Spaces calls by a rate with the generic cell rate algorithm.

    Each call moves the time up to which the rate is used up, which may be
    `BURST_S` ahead.

    Parameters
    ----------
    per_s : float
        Calls a second; lower rates than `MIN_PER_S` are raised to it.
    """

    __slots__ = ('_used_up_to_s', 'interval_s')

    def __init__(self, per_s: float) -> None:
        """Initialise without calls."""
        self._used_up_to_s: float = 0
        self.interval_s = 1 / max(per_s, MIN_PER_S)

    @property
    def delay_s(self) -> float:
        """Time until the next call may be sent, 0 if it may be sent now."""
        return max(self._used_up_to_s - BURST_S - _now(), 0)

    def change_rate(self, per_s: float) -> None:
        """Space further calls by another rate."""
        self.interval_s = 1 / max(per_s, MIN_PER_S)

    def record_call(self, time_s: float) -> None:
        """Count a call that is sent at a time."""
        start_s = max(self._used_up_to_s, time_s)
        self._used_up_to_s = start_s + self.interval_s

    def use_up_to(self, time_s: float) -> None:
        """Set the time up to which the rate is used up."""
        self._used_up_to_s = time_s

    def use_up_to_at_most(self, time_s: float) -> None:
        """Lower the time up to which the rate is used up to a maximum."""
        self._used_up_to_s = min(self._used_up_to_s, time_s)


class StatedRateLimit:
    """Rate limit that the local target states in its answers.

    Explanation
    ===========

    A limit holds until an answer states another one or none. An answer
    without a limit to a call that was sent before the limit was last stated
    says nothing about the time since.

    Attributes
    ----------
    per_s : float or None
        Calls a second that the target accepts from all nodes together, None
        without a limit.
    """

    __slots__ = ('_spacing', '_stated_s', 'per_s')

    def __init__(self) -> None:
        """Initialise without a limit."""
        self._spacing = CallSpacing(0)
        self._stated_s: float = 0
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
            self._spacing.change_rate(per_s)
            if previous is None:
                # The calls before the statement count as a burst.
                self._spacing.use_up_to(self._stated_s + BURST_S)
        return per_s != previous

    def record_call(self) -> None:
        """Count a call that is sent now."""
        if self.per_s is not None:
            self._spacing.record_call(_now())

    @property
    def delay_s(self) -> float:
        """Time until the next call may be sent, 0 if it may be sent now."""
        return 0 if self.per_s is None else self._spacing.delay_s

    def wait_s(self, ahead: int) -> float:
        """Return how long a call waits behind a number of others."""
        if self.per_s is None:
            return 0
        return self.delay_s + ahead * self._spacing.interval_s


def _now() -> float:
    return asyncio.get_running_loop().time()


def parse_rate(text: str) -> float:
    """Return the rate of a header value in calls a second.

    Raises
    ------
    ValueError
        If the value is not a finite number of at least 0.
    """
    rate = parse_number(text)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f'expected a rate of at least 0, found {show(text)}')
    return rate
