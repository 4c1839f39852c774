"""Time limits of a caller's connection."""

import asyncio
from collections.abc import Callable

from mustardspur_core.mesh.model import CallerLimits
from mustardspur_core.units import MS_PER_S


class CallerTimers:
    """Bounds how long a caller sends a head, and how long it stays idle.

    Parameters
    ----------
    limits : CallerLimits
        The times.
    end_head : callable
        Called when a head takes too long.
    end_idle : callable
        Called when nothing was sent for too long.
    """

    __slots__ = ('_end_head', '_end_idle', '_head', '_idle', '_limits')

    def __init__(
        self,
        limits: CallerLimits,
        end_head: Callable[[], None],
        end_idle: Callable[[], None],
    ) -> None:
        """Start without timers."""
        self._limits = limits
        self._end_head = end_head
        self._end_idle = end_idle
        self._head: asyncio.TimerHandle | None = None
        self._idle: asyncio.TimerHandle | None = None

    def start_head(self) -> None:
        """Start the time of a head unless it runs already."""
        if self._head is None:
            self.cancel()
            self._head = asyncio.get_running_loop().call_later(
                self._limits.header_timeout_ms / MS_PER_S,
                self._end_head,
            )

    def restart_idle(self) -> None:
        """Start the idle time anew."""
        if self._idle is not None:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(
            self._limits.idle_timeout_ms / MS_PER_S,
            self._end_idle,
        )

    def cancel(self) -> None:
        """Stop both times."""
        for timer in (self._head, self._idle):
            if timer is not None:
                timer.cancel()
        self._head = None
        self._idle = None
