"""Timeouts of a caller's connection."""

import asyncio
from collections.abc import Callable

from mustardspur_core.mesh.model import CallerLimits
from mustardspur_core.units import MS_PER_S


class CallerTimers:
    """Timers for receiving a request head and for an idle connection.

    Parameters
    ----------
    limits : CallerLimits
        Limits with the timeouts.
    on_head_timeout : callable
        Called when the head timeout expires.
    on_idle_timeout : callable
        Called when the idle timeout expires.
    """

    __slots__ = (
        '_head_timer',
        '_idle_timer',
        '_limits',
        '_on_head_timeout',
        '_on_idle_timeout',
    )

    def __init__(
        self,
        limits: CallerLimits,
        on_head_timeout: Callable[[], None],
        on_idle_timeout: Callable[[], None],
    ) -> None:
        """Initialise both timers as stopped."""
        self._limits = limits
        self._on_head_timeout = on_head_timeout
        self._on_idle_timeout = on_idle_timeout
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def is_receiving_head(self) -> bool:
        """Whether a part of a head has been received."""
        return self._head_timer is not None

    def start_head(self) -> None:
        """Start the head timer unless it is running."""
        if self._head_timer is None:
            self.cancel()
            self._head_timer = asyncio.get_running_loop().call_later(
                self._limits.header_timeout_ms / MS_PER_S,
                self._on_head_timeout,
            )

    def restart_idle(self) -> None:
        """Restart the idle timer."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = asyncio.get_running_loop().call_later(
            self._limits.idle_timeout_ms / MS_PER_S,
            self._on_idle_timeout,
        )

    def cancel(self) -> None:
        """Stop both timers."""
        for timer in (self._head_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._head_timer = None
        self._idle_timer = None
