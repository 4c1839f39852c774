"""Pool of connections to the local target of the node."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.inbound_reads import MAX_READ_BYTES, InboundReads
from mustardspur_core.read_turns import ReadTurns

from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.calls import PlacementFault, not_sent_fault
from mustardspur_node.mesh.target_connection import TargetConnection

# The target is on the same instance; a slower one is overloaded.
CONNECT_TIMEOUT_S: Final = 1.0
# Ends the lines of chunks and of most heads, and seldom those of a body, which
# cost nothing. One byte of it is common in compressed bodies.
_LINE_END: Final = b'\r\n'


class TargetPool:
    """Pool of connections to a target; the last used one is used first.

    Explanation
    ===========

    A new connection briefly occupies a slot of the target and counts towards
    its connection limit, so as few as possible are opened.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    budget : AnswerBudget
        Bytes of all answers that the node receives.

    Attributes
    ----------
    address : str
        ``ip:port`` of the target.
    closed : bool
        Whether the target was replaced by another one.
    connected_s : float
        Time on the event loop's clock of the latest connect.
    heard_s : float
        Time on the event loop's clock of the latest bytes on a connection that
        was released.
    """

    __slots__ = (
        '_budget',
        '_idle',
        '_loop',
        '_turns',
        'address',
        'closed',
        'connected_s',
        'heard_s',
    )

    def __init__(self, address: str, budget: AnswerBudget) -> None:
        """Initialise an empty pool."""
        self.address = address
        self._budget = budget
        self.closed = False
        self._idle: list[TargetConnection] = []
        self._loop = asyncio.get_running_loop()
        self._turns = ReadTurns()
        self.connected_s: float = 0
        self.heard_s = float('-inf')

    @asynccontextmanager
    async def acquire(
        self,
        request_id: str | None = None,
    ) -> AsyncIterator[TargetConnection]:
        """Provide an idle connection while the context is active.

        Explanation
        ===========

        The connection is released however the context ends, since a leaked
        one counts towards the connection limit of the target. It has not
        carried a refusal of a request with the same identifier, whose late
        copy could not be told from the answer.

        Parameters
        ----------
        request_id : str, optional
            Identifier of the request, empty if it has none.

        Raises
        ------
        PlacementFault
            If the target accepts no connection; nothing was sent.
        """
        connection = self._take_idle(request_id) or await self._connect()
        try:
            yield connection
        finally:
            self._release(connection)

    @asynccontextmanager
    async def acquire_new(self) -> AsyncIterator[TargetConnection]:
        """Provide a new connection while the context is active.

        Raises
        ------
        PlacementFault
            If the target accepts no connection; nothing was sent.
        """
        connection = await self._connect()
        try:
            yield connection
        finally:
            self._release(connection)

    async def accepts_connections(self) -> bool:
        """Return False if the target refuses connections.

        Where no idle connection shows it, one is opened for the next call.
        """
        if self.closed or any(each.is_fresh for each in self._idle):
            return True
        try:
            connection = await self._connect()
        except PlacementFault as fault:
            return not isinstance(fault.__cause__, ConnectionRefusedError)
        self._release(connection)
        return True

    def prune(self) -> None:
        """Close connections whose idle timeout has expired."""
        for connection in self._idle:
            if not connection.is_fresh:
                connection.abort()
        self._idle = [each for each in self._idle if each.is_fresh]

    def close(self) -> None:
        """Close idle connections now and acquired ones on their release."""
        self.closed = True
        while self._idle:
            self._idle.pop().abort()

    def _take_idle(self, request_id: str | None) -> TargetConnection | None:
        for connection in reversed(self._idle):
            is_refused = request_id in connection.refused_ids
            if connection.is_fresh and not is_refused:
                self._idle.remove(connection)
                return connection
        return None

    def _release(self, connection: TargetConnection) -> None:
        self.heard_s = max(self.heard_s, connection.heard_s)
        if self.closed:
            connection.abort()
        elif connection.is_fresh:
            self._idle.append(connection)

    async def _connect(self) -> TargetConnection:
        host, _, port = self.address.rpartition(':')
        creation = self._loop.create_task(self._create(host, int(port)))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.shield(creation)
        except ConnectionResetError as error:
            # The target is running but accepts no further connection now.
            raise not_sent_fault('refused', repr(error)) from error
        except (OSError, TimeoutError) as error:
            _abort_when_created(creation)
            raise not_sent_fault('unreachable', repr(error)) from error
        except asyncio.CancelledError:
            # uvloop can leak a descriptor when a connect is cancelled, so the
            # connect is left to complete and the connection then aborted.
            _abort_when_created(creation)
            raise

    async def _create(self, host: str, port: int) -> TargetConnection:
        connection = TargetConnection(self._loop, self._budget)
        reads = InboundReads(
            connection,
            self._turns,
            _LINE_END,
            MAX_READ_BYTES,
        )
        await self._loop.create_connection(lambda: reads, host, port)
        self.connected_s = self._loop.time()
        connection.idle_since_s = self.connected_s
        return connection


def _abort_when_created(creation: asyncio.Task[TargetConnection]) -> None:
    creation.add_done_callback(_abort_created)


def _abort_created(done: asyncio.Task[TargetConnection]) -> None:
    if not done.cancelled() and done.exception() is None:
        done.result().abort()
