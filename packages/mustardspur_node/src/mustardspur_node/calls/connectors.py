"""Connector of a node for the connections to one target."""

import asyncio
from typing import Any, Final

from aiohttp import ClientRequest, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from mustardspur_core.inbound_reads import InboundReads
from mustardspur_core.read_turns import ReadTurns

from mustardspur_node.calls.target_connections import TargetConnection

# Ends the lines of chunks and of most heads, and seldom those of a body, which
# cost nothing.
_LINE_END: Final = b'\r\n'


class _TargetReads(InboundReads):
    """Reads of a connection to a target, in turns.

    Attributes
    ----------
    protocol : TargetConnection
        Receives the bytes.
    """

    __slots__ = ('protocol',)

    def __init__(self, protocol: TargetConnection, turns: ReadTurns) -> None:
        super().__init__(protocol, turns, _LINE_END)
        self.protocol = protocol

    def buffer_updated(self, size: int) -> None:
        """Pass on a read, at once if its lines are not parsed."""
        if self.protocol.stated_bytes < size or self._unhandled:
            super().buffer_updated(size)
        else:
            self._receive(bytes(self.get_buffer(size)[:size]))


class TargetConnector(TCPConnector):
    """Connector that completes a connect after its call is cancelled.

    Explanation
    ===========

    A cancellation during a connect leaves uvloop with a transport whose
    descriptor is closed. The next socket gets the same descriptor, its
    connect fails, and the process can exit. The connect is therefore
    completed in a separate task and the connection closed afterwards.

    What a target sends is received in small reads, of which the costly ones
    take turns, so that one target does not take up the event loop.

    Parameters
    ----------
    turns : ReadTurns
        Turns of the connections to the target.
    options
        Those of ``aiohttp.TCPConnector``.
    """

    def __init__(self, turns: ReadTurns, **options: Any) -> None:
        """Initialise without connections."""
        super().__init__(**options)
        self._turns = turns
        self._factory: Any = self._create_reads

    async def _create_connection(
        self,
        req: ClientRequest,
        traces: Any,
        timeout: ClientTimeout,
    ) -> ResponseHandler:
        creation = super()._create_connection(req, traces, timeout)
        task = asyncio.get_running_loop().create_task(creation)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_close_unused)
            raise

    async def _wrap_create_connection(
        self, *args: Any, **kwargs: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        created: Any = await super()._wrap_create_connection(*args, **kwargs)
        transport, reads = created
        return transport, reads.protocol

    def _create_reads(self) -> _TargetReads:
        return _TargetReads(TargetConnection(self._loop), self._turns)


def _close_unused(task: asyncio.Task[ResponseHandler]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()
