"""Open connections of the clients of an HTTP interface, up to a limit."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from aiohttp import web

from mustardspur_core.descriptors import descriptor_limit, max_refused
from mustardspur_core.http_clients import ClientConnection, OnClose
from mustardspur_core.inbound_reads import InboundReads
from mustardspur_core.read_turns import ReadTurns
from mustardspur_core.refusals import RefusedConnections
from mustardspur_core.repeated_warning import RepeatedWarning

_LOG: Final = logging.getLogger(__name__)

Create = Callable[[web.Server, OnClose], ClientConnection]


class BoundedConnections:
    """Creates the connections of a server, up to a limit.

    Explanation
    ===========

    At the limit, the connection whose client has made no progress for the
    longest time is closed in favour of a new one.

    Parameters
    ----------
    server : web.Server
        The server.
    listener : str
        Name of the listener in the log.
    most : int
        Connections that may be open.
    refused : RefusedConnections
        Refuses those beyond the limit.
    create : callable, optional
        Returns the protocol of a new connection.
    """

    __slots__ = (
        '_closed',
        '_create',
        '_listener',
        '_most',
        '_refused',
        '_server',
        '_turns',
    )

    def __init__(
        self,
        server: web.Server,
        listener: str,
        most: int,
        refused: RefusedConnections,
        create: Create = ClientConnection,
    ) -> None:
        """Initialise without connections."""
        self._server = server
        self._listener = listener
        self._most = most
        self._refused = refused
        self._create = create
        self._turns = ReadTurns()
        self._closed = RepeatedWarning(_LOG, 'client closed')

    def create(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        connections = self._server.connections
        if len(connections) >= self._most:
            if not self._displace(connections):
                return self._refused.create(len(connections))
        connection = self._create(self._server, self._report)
        return InboundReads(connection, self._turns)

    def _displace(self, connections: list[web.RequestHandler]) -> bool:
        """Close a connection; return whether the new one has room."""
        # Closed ones count until their handlers have ended.
        most = self._most + max_refused(descriptor_limit())
        displaceable = [
            each
            for each in connections
            if isinstance(each, ClientConnection) and each.is_displaceable
        ]
        if not displaceable or len(connections) >= most:
            return False
        min(displaceable, key=_waits_since).abort('displaced')
        return True

    def _report(self, reason: str) -> None:
        self._closed.log(
            listener=self._listener,
            reason=reason,
            connections=len(self._server.connections),
        )


def _waits_since(connection: ClientConnection) -> float:
    return connection.timer.since or 0
