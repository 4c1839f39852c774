"""Target of a node in a soak, behind a proxy that misbehaves."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Final

from aiohttp import web

from tests.platform.soak.promises import Observations

MAX_RUN_S: Final = 0.04
_READ_BYTES: Final = 65_536
_HEALTH_PATH: Final = '/healthz'


class FaultyProxy:
    """Forwards connections to a target, or misbehaves.

    Attributes
    ----------
    mode : str
        ``pass``, ``delay``, ``reset`` for connections that are reset,
        ``silent`` for bytes that are lost both ways, and ``one_way`` for
        answers that are lost.
    """

    def __init__(self, target: str) -> None:
        """Initialise a proxy that forwards to ``ip:port``."""
        host, _, port = target.rpartition(':')
        self._host = host
        self._port = int(port)
        self.mode = 'pass'

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        try:
            behind, ahead = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._copy(reader, ahead, lost_modes=('silent',)),
            self._copy(behind, writer, lost_modes=('silent', 'one_way')),
        )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        lost_modes: tuple[str, ...],
    ) -> None:
        try:
            while part := await reader.read(_READ_BYTES):
                if self.mode == 'reset':
                    writer.transport.abort()
                    return
                if self.mode == 'delay':
                    await asyncio.sleep(MAX_RUN_S)
                if self.mode not in lost_modes:
                    writer.write(part)
        except OSError:
            # The other side ended the connection; this one ends below.
            writer.transport.abort()
        writer.close()


async def _run(
    observations: Observations,
    host: str,
    request: web.BaseRequest,
) -> web.Response:
    if request.path == _HEALTH_PATH:
        return web.Response()
    request_id = request.headers['Request-Id']
    observations.runs_by_id[request_id] += 1
    await asyncio.sleep(random.uniform(0, MAX_RUN_S))
    return web.Response(
        text=request_id,
        headers={
            'Request-Id': request_id,
            'Response-Signature': f'signed by {host}',
        },
    )


@asynccontextmanager
async def running_target(
    host: str,
    port: int,
    observations: Observations,
) -> AsyncIterator[FaultyProxy]:
    """Run a target behind a proxy that listens on a port of the host."""
    runner = web.ServerRunner(web.Server(partial(_run, observations, host)))
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    behind = runner.addresses[0]
    proxy = FaultyProxy(f'{behind[0]}:{behind[1]}')
    server = await asyncio.start_server(proxy.serve, host, port)
    try:
        yield proxy
    finally:
        server.close()
        await runner.cleanup()
