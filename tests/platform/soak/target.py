"""Target of a node in a soak, behind a proxy that misbehaves."""

import asyncio
import math
import random
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Final

from aiohttp import web

from tests.platform.soak.limits import StatedPeriod
from tests.platform.soak.promises import Observations
from tests.platform.soak.windows import Period, Run, header_finding

MAX_RUN_S: Final = 0.04
COLD_S: Final = 3.0
_MS: Final = 1000
_READ_BYTES: Final = 65_536
_HEALTH_PATH: Final = '/healthz'
# Requests with this text in their paths crash the target.
DEADLY: Final = 'deadly-'
# Time from a crash of a target to its next start.
DOWN_S: Final = 0.3


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
        self._writers: set[asyncio.StreamWriter] = set()

    def abort_all(self) -> None:
        """End all connections, as a crash of the target does."""
        for writer in self._writers:
            writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        with self._listed(writer):
            await self._forward(reader, writer)

    @contextmanager
    def _listed(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
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


class Target:
    """A target behind its proxy, and how long it stays cold.

    Parameters
    ----------
    host, port : str and int
        Address of the node beside it, and port of the target there.
    observations : Observations
        Receives its runs and its cold times.

    Attributes
    ----------
    proxy : FaultyProxy
        Forwards to the target once that listens.
    born : int
        Time of its start, as reports state it.
    """

    def __init__(
        self,
        host: str,
        port: int,
        observations: Observations,
    ) -> None:
        """Initialise a warm target."""
        self.port = port
        self.proxy: FaultyProxy
        # Listens for the proxy; None while the target is down.
        self.server: asyncio.Server | None = None
        self.born = 1000
        self._limit_per_s: float | None = None
        self._is_limit_stated = True
        self._restart: asyncio.Task[None] | None = None
        self._host = host
        self._observations = observations
        self._cold_until_s = -math.inf
        self._is_cold_stated = True

    def turn_cold(self) -> None:
        """Become cold, from now on; the next statements say so."""
        self._cold_until_s = time.monotonic() + COLD_S
        self._is_cold_stated = False

    def start_again(self) -> None:
        """Start again; what was stated before holds no longer."""
        self.born += 1
        self.turn_cold()
        self.state_limit(self._limit_per_s)

    def state_limit(self, per_s: float | None) -> None:
        """State a rate limit, or none, from the next answer on."""
        now_s = time.monotonic()
        for stated in self._observations.limits.stated:
            if stated.host == self._host:
                stated.until_s = min(stated.until_s, now_s)
        self._limit_per_s = per_s
        self._is_limit_stated = per_s is None

    def cold_ms(self) -> int:
        """Return how long the target stays cold."""
        left_s = max(0, self._cold_until_s - time.monotonic())
        return int(left_s * _MS)

    def record_stated(self, cold_ms: int) -> None:
        """Record that a statement of a cold time has arrived."""
        if cold_ms and not self._is_cold_stated:
            self._is_cold_stated = True
            period = Period(
                hosts=(self._host,),
                from_s=time.monotonic(),
                until_s=self._cold_until_s,
            )
            self._observations.periods.cold.append(period)

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Serve a health check or a call."""
        if DEADLY in request.path:
            self._crash(request.path)
            return web.Response()
        if request.path == _HEALTH_PATH:
            cold_ms = self.cold_ms()
            if self.proxy.mode == 'pass':
                self.record_stated(cold_ms)
            response = web.Response(headers={'Cold-Ms': str(cold_ms)})
        else:
            response = await _run(self._observations, self._host, request)
        if self._limit_per_s is not None:
            response.headers['Server-Limit'] = str(self._limit_per_s)
            self._record_limit_stated(self._limit_per_s)
        return response

    def close(self) -> None:
        """Stop listening, and start no more."""
        if self._restart is not None:
            self._restart.cancel()
        if self.server is not None:
            self.server.close()

    async def listen(self) -> None:
        """Listen for the proxy."""
        self.server = await asyncio.start_server(
            self.proxy.serve, self._host, self.port
        )

    def _record_limit_stated(self, per_s: float) -> None:
        if self._is_limit_stated or self.proxy.mode != 'pass':
            return
        self._is_limit_stated = True
        stated = StatedPeriod(
            host=self._host,
            per_s=per_s,
            from_s=time.monotonic(),
            until_s=math.inf,
        )
        self._observations.limits.stated.append(stated)

    def _crash(self, path: str) -> None:
        """End all connections and refuse further ones until the restart."""
        if self.server is None:
            return
        self._observations.limits.crashes[path] += 1
        self._restart = asyncio.create_task(self._run_again(self.server))
        self.server.close()
        self.server = None
        self.proxy.abort_all()

    async def _run_again(self, former: asyncio.Server) -> None:
        await former.wait_closed()
        await asyncio.sleep(DOWN_S)
        self.start_again()
        await self.listen()


async def _run(
    observations: Observations,
    host: str,
    request: web.BaseRequest,
) -> web.Response:
    request_id = request.headers['Request-Id']
    observations.runs_by_id[request_id] += 1
    observations.periods.runs.append(
        Run(at_s=time.monotonic(), request_id=request_id, host=host),
    )
    account = request.headers.get('Tenant', '')
    finding = header_finding(request_id, account, str(request.raw_headers))
    if finding is not None:
        observations.broken.append(finding)
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
) -> AsyncIterator[Target]:
    """Run a target behind a proxy that listens on a port of the host."""
    target = Target(host, port, observations)
    runner = web.ServerRunner(web.Server(target.serve))
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    behind = runner.addresses[0]
    target.proxy = FaultyProxy(f'{behind[0]}:{behind[1]}')
    await target.listen()
    try:
        yield target
    finally:
        target.close()
        await runner.cleanup()
