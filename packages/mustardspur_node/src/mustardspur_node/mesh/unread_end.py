"""Detection of the end of a connection that is not read."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_node.mesh.socket_state import has_ended

CHECK_INTERVAL_S: Final = 0.2


class UnreadEnd:
    """Looks for the end of a connection while its reading is paused.

    Explanation
    ===========

    The event loop reports an end only where it reads.

    Parameters
    ----------
    on_end : callable
        Called once the other side has closed or reset the connection.
    is_closed : callable
        Whether the connection is being closed, so that its end is expected.
    """

    __slots__ = ('_is_closed', '_on_end', '_timer', '_transport')

    def __init__(
        self, on_end: Callable[[], None], is_closed: Callable[[], bool]
    ) -> None:
        """Initialise without a connection."""
        self._is_closed = is_closed
        self._on_end = on_end
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def start(self, transport: asyncio.Transport | None) -> None:
        """Look for the end of a connection, until stopped."""
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Look for no end, since the connection is read or lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._is_closed():
            return
        if has_ended(self._transport):
            self._on_end()
        else:
            self.start(self._transport)
