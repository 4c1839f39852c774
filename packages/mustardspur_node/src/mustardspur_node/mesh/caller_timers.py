"""Timeouts of a caller's connection."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.model import CallerLimits
from mustardspur_core.units import MS_PER_S


# A timer can run this long before its time because of rounding.
CLOCK_TOLERANCE_S: Final = 0.002

Limits = Callable[[], CallerLimits]


class CallerTimers:
    """Timers for receiving a request head and for an idle connection.

    Explanation
    ===========

    A connection may idle for the longer of two limits: the one in force, and
    the one that was in force when its latest request arrived, since its caller
    may not have heard of a lower one.

    Parameters
    ----------
    limits : callable
        Returns the limits in force, with the timeouts.
    on_head_timeout : callable
        Called when the head timeout expires.
    on_idle_timeout : callable
        Called when the idle timeout expires.
    """

    __slots__ = (
        '_head_timer',
        '_idle_since_s',
        '_idle_timer',
        '_known_idle_s',
        '_limits',
        '_on_head_timeout',
        '_on_idle_timeout',
    )

    def __init__(
        self,
        limits: Limits,
        on_head_timeout: Callable[[], None],
        on_idle_timeout: Callable[[], None],
    ) -> None:
        """Initialise both timers as stopped."""
        self._limits = limits
        self._on_head_timeout = on_head_timeout
        self._on_idle_timeout = on_idle_timeout
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since_s: float = 0
        self._known_idle_s = self._limit_s

    def start_request(self) -> None:
        """Stop both timers, since a request has arrived."""
        self.cancel()
        self._known_idle_s = self._limit_s

    @property
    def is_receiving_head(self) -> bool:
        """Whether a part of a head has been received."""
        return self._head_timer is not None

    def start_head(self) -> None:
        """Start the head timer unless it is running."""
        if self._head_timer is None:
            self.cancel()
            self._head_timer = asyncio.get_running_loop().call_later(
                self._limits().header_timeout_ms / MS_PER_S,
                self._on_head_timeout,
            )

    def restart_idle(self) -> None:
        """Restart the idle timer."""
        loop = asyncio.get_running_loop()
        self._idle_since_s = loop.time()
        self._set_idle(loop)

    def cancel(self) -> None:
        """Stop both timers."""
        for timer in (self._head_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._head_timer = None
        self._idle_timer = None

    @property
    def idle_since_s(self) -> float:
        """Since when the connection is idle, infinity while it is not."""
        return float('inf') if self._idle_timer is None else self._idle_since_s

    @property
    def _limit_s(self) -> float:
        return self._limits().idle_timeout_ms / MS_PER_S

    @property
    def _idle_end_s(self) -> float:
        return self._idle_since_s + max(self._known_idle_s, self._limit_s)

    def _set_idle(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = loop.call_at(self._idle_end_s, self._check_idle)

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self._idle_end_s - CLOCK_TOLERANCE_S:
            # The limit was raised meanwhile.
            self._set_idle(loop)
            return
        self._on_idle_timeout()
