"""The few warm connections to the target beside the node."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_node.mesh.calls import not_sent_fault
from mustardspur_node.mesh.target_connection import TargetConnection

# The target is on the same instance; one that needs longer is overloaded.
CONNECT_TIMEOUT_S: Final = 1.0


class TargetPool:
    """Connections to a target, the most recently used one first.

    Explanation
    ===========

    A new connection costs the target a moment of a slot and counts against
    the connections that it takes, so as few as possible stay warm.
    """

    __slots__ = ('_address', '_closed', '_idle', '_loop')

    def __init__(self, address: str) -> None:
        """Open nothing yet."""
        self._address = address
        self._closed = False
        self._idle: list[TargetConnection] = []
        self._loop = asyncio.get_running_loop()

    @asynccontextmanager
    async def lent(self) -> AsyncIterator[TargetConnection]:
        """Lend a connection without a request for the length of a block.

        Explanation
        ===========

        Whatever ends the block, the connection goes back: each one that is
        lost counts against the connections that the target takes.

        Raises
        ------
        PlaceFault
            If the target takes no connection; nothing was sent.
        """
        connection = await self._lend()
        try:
            yield connection
        finally:
            self._take_back(connection)

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        for connection in self._idle:
            if not connection.is_fresh:
                connection.abort()
        self._idle = [each for each in self._idle if each.is_fresh]

    def close(self) -> None:
        """Close the idle connections, and the lent ones at their return."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()

    async def _lend(self) -> TargetConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_fresh:
                return connection
            connection.abort()
        return await self._connect()

    def _take_back(self, connection: TargetConnection) -> None:
        if self._closed:
            connection.abort()
        elif connection.is_fresh:
            self._idle.append(connection)

    async def _connect(self) -> TargetConnection:
        host, _, port = self._address.rpartition(':')
        creation = self._loop.create_task(self._create(host, int(port)))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.shield(creation)
        except ConnectionResetError as error:
            # The target is there, but takes no further connection now.
            raise not_sent_fault('refused', repr(error)) from error
        except (OSError, TimeoutError) as error:
            _abort_later(creation)
            raise not_sent_fault('unreachable', repr(error)) from error
        except asyncio.CancelledError:
            # uvloop can lose track of a descriptor when a connect is
            # cancelled, so the connect is completed and then dropped.
            _abort_later(creation)
            raise

    async def _create(self, host: str, port: int) -> TargetConnection:
        _, connection = await self._loop.create_connection(
            lambda: TargetConnection(self._loop),
            host,
            port,
        )
        connection.idle_since_s = self._loop.time()
        return connection


def _abort_later(creation: asyncio.Task[TargetConnection]) -> None:
    creation.add_done_callback(_abort_created)


def _abort_created(done: asyncio.Task[TargetConnection]) -> None:
    if not done.cancelled() and done.exception() is None:
        done.result().abort()
