"""Closing of connections of callers in favour of new ones."""

import asyncio
import logging
from collections import deque
from collections.abc import Collection
from heapq import nsmallest
from typing import Final

from mustardspur_core.held_bytes import STALL_S, HeldBytes

from mustardspur_node.mesh.caller_connection import CallerConnection
from mustardspur_node.mesh.socket_state import has_arrived

_LOG: Final = logging.getLogger(__name__)

# Connections that are ranked at a time, and the time between two rankings, so
# that a burst of new connections does not rank all open ones for each.
_RANKED: Final = 64
_RANK_INTERVAL_S: Final = 0.1
# Closed connections between two log lines.
_CLOSED_PER_LINE: Final = 100


class CallerReplacement:
    """Closes the connections that are idle or stalled for the longest.

    Explanation
    ===========

    Addresses callers that hold all connections that a node accepts. One that
    has been idle for `STALL_S`, with nothing received, may be closed as at the
    idle limit, and so may one whose caller sends on after its last answer; then
    those whose callers stall within a head, a body or an answer.

    Parameters
    ----------
    held : HeldBytes
        Account of all connections, which knows those that stall.
    """

    __slots__ = ('_held', '_ranked', '_ranked_s', 'closed')

    def __init__(self, held: HeldBytes) -> None:
        """Initialise without connections."""
        self._held = held
        self._ranked: deque[CallerConnection] = deque()
        self._ranked_s = float('-inf')
        self.closed = 0

    def close_one(self, connections: Collection[CallerConnection]) -> bool:
        """Close a connection; return whether there is one."""
        now_s = asyncio.get_running_loop().time()
        if not self._ranked and now_s - self._ranked_s >= _RANK_INTERVAL_S:
            self._ranked_s = now_s
            self._ranked.extend(nsmallest(_RANKED, connections, _idle_since_s))
        while self._ranked:
            connection = self._ranked.popleft()
            if now_s - _idle_since_s(connection) < STALL_S:
                # Those behind it have idled for less.
                self._ranked.clear()
            elif not _may_have_request(connection):
                self._abort(connection)
                return True
        return self._held.close_stalled()

    def _abort(self, connection: CallerConnection) -> None:
        if connection.transport is not None:
            connection.transport.abort()
        if self.closed % _CLOSED_PER_LINE == 0:
            _LOG.warning(
                'idle connection closed',
                extra={
                    'reason': 'all connections are in use',
                    'closed': self.closed + 1,
                },
            )
        self.closed += 1


def _may_have_request(connection: CallerConnection) -> bool:
    """Return whether a request may have arrived that is not read."""
    return connection.linger is None and has_arrived(connection.transport)


def _idle_since_s(connection: CallerConnection) -> float:
    """Return since when a connection is idle, infinity if it is not.

    After the last answer, what its caller sends on is discarded.
    """
    if not connection.connected:
        return float('inf')
    if connection.linger is not None:
        return connection.linger.started_s
    if connection.room.intake.is_held:
        return float('inf')
    return connection.timers.idle_since_s
