"""Open connections of callers, up to a limit."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.descriptors import descriptor_limit, max_callers
from mustardspur_core.held_bytes import HeldBytes
from mustardspur_core.inbound_reads import InboundReads
from mustardspur_core.read_turns import ReadTurns
from mustardspur_core.refusals import RefusedConnections

from mustardspur_node.mesh.caller_connection import CallerConnection
from mustardspur_node.mesh.caller_replacement import CallerReplacement
from mustardspur_node.mesh.caller_tasks import Answer
from mustardspur_node.mesh.caller_timers import Limits
from mustardspur_node.mesh.request_body import RequestBody

ReadBody = RequestBody

# New connections between two removals of closed ones.
_PRUNE_CONNECTIONS: Final = 64
# Between two removals while there are as many as the limit allows.
_PRUNE_INTERVAL_S: Final = 0.02


class CallerConnections:
    """The open connections, up to a limit.

    Explanation
    ===========

    Beyond it, one that is idle or stalled gives way to a new one, which is
    refused if there is none.

    Parameters
    ----------
    retry_after : str
        Name of the header that says when to try again.
    held : HeldBytes
        Account of what is held for all connections.

    Attributes
    ----------
    accepted : int
        Connections that were accepted.
    """

    __slots__ = (
        '_held',
        '_max_open',
        '_open',
        '_pruned_s',
        '_refused',
        '_replacement',
        '_turns',
        'accepted',
    )

    def __init__(self, retry_after: str, held: HeldBytes) -> None:
        """Initialise without connections."""
        self._held = held
        self._turns = ReadTurns()
        self._replacement = CallerReplacement(held)
        self._open: set[CallerConnection] = set()
        self._max_open = max_callers(descriptor_limit())
        self._refused = RefusedConnections('callers', retry_after)
        self._pruned_s = float('-inf')
        self.accepted = 0

    def connected(self) -> set[CallerConnection]:
        """Return the open connections."""
        self._open = {each for each in self._open if each.connected}
        return self._open

    def add(
        self,
        limits: Limits,
        answer: Answer,
        node_is_draining: Callable[[], bool],
    ) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection, see `CallerConnection`."""
        self.accepted += 1
        self._prune()
        is_full = len(self._open) >= self._max_open
        if is_full and not self._replacement.close_one(self._open):
            return self._refused.create(len(self._open))
        connection = CallerConnection(
            limits,
            answer,
            node_is_draining,
            self._held,
        )
        self._open.add(connection)
        return InboundReads(connection, self._turns)

    def _prune(self) -> None:
        if len(self._open) < self._max_open:
            if len(self._open) % _PRUNE_CONNECTIONS == 0:
                self.connected()
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self._pruned_s >= _PRUNE_INTERVAL_S:
            self._pruned_s = now_s
            self.connected()
