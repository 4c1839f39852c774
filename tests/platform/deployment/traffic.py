"""Targets that make calls of their own, and callers, of a deployment."""

import asyncio
import json
import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from itertools import count, repeat
from typing import Any, Final

from aiohttp import ClientError, ClientTimeout, web

from mustardspur_core.record import Record

from tests.platform.deployment.mesh import DeployedMesh
from tests.platform.deployment.sites import INNER, Route
from tests.platform.mesh_processes import HOST
from tests.platform.soak.patterns import BURST, PipeliningCaller, SlowCaller
from tests.platform.soak.promises import LOST, Observations, Outcome
from tests.platform.soak.traffic import Caller

SLOTS: Final = 9
_REPORT_S: Final = 1.5
_REPORT_LIMIT: Final = ClientTimeout(total=1)
_HEALTH_PATH: Final = '/healthz'
_RETRY_S: Final = 0.2
# Callers of a route, as a part of its calls a second.
_CALLERS_S: Final = 0.25
_OWN_FAILURES: Final = frozenset((500, 502, 504))
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class FailedCall(Record):
    """A call that a node ended with a failure of its own.

    Parameters
    ----------
    begun_s, sent_s, ended_s : float
        When its first and its last byte were sent, and when it was answered.
    """

    __slots__ = ('request_id', 'begun_s', 'sent_s', 'ended_s', 'status')
    request_id: str
    begun_s: float
    sent_s: float
    ended_s: float
    status: int


class RoutedCaller(Caller):
    """Makes calls of one route, at a rate.

    Attributes
    ----------
    route : Route
        The route of all its calls.
    interval_s : float
        Time between the starts of two calls.
    failed : list of FailedCall
        Calls that a node ended with a failure of its own.
    begun_s : dict of float
        Time of the first byte of each call in flight, by its identifier.
    """

    route: Route
    interval_s: float
    failed: list[FailedCall]
    begun_s: dict[str, float]

    def _pause_s(self, started_s: float) -> float:
        return max(started_s + self.interval_s - time.monotonic(), 0)

    def _next_request(
        self, *, once: bool | None = None, body_bytes: int = 0
    ) -> tuple[str, bytes]:
        request_id = f'{self.name}-{next(self._numbers)}'
        self.begun_s[request_id] = time.monotonic()
        if self.route.is_once:
            self._observations.once_ids.add(request_id)
        self._observations.outcomes_by_id[request_id] = Outcome(
            status=LOST, body='', signature=''
        )
        method = 'POST' if self.route.is_once else 'GET'
        route = self.route
        head = (
            f'{method} /{route.name}/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: {route.deadline_ms}\r\n'
            f'Content-Length: {body_bytes}\r\n\r\n'
        )
        return request_id, head.encode()

    async def _outcome(
        self,
        reader: asyncio.StreamReader,
        request_id: str,
        sent_s: float,
        *,
        is_behind: bool = False,
    ) -> Outcome:
        outcome = await super()._outcome(
            reader, request_id, sent_s, is_behind=is_behind
        )
        begun_s = self.begun_s.pop(request_id)
        if outcome.status in _OWN_FAILURES and not outcome.signature:
            self.failed.append(
                FailedCall(
                    request_id=request_id,
                    begun_s=begun_s,
                    sent_s=sent_s,
                    ended_s=time.monotonic(),
                    status=outcome.status,
                )
            )
        return outcome


class RoutedPipeliningCaller(RoutedCaller, PipeliningCaller):
    """Sends several requests behind each other."""


class RoutedSlowCaller(RoutedCaller, SlowCaller):
    """Sends bodies that arrive slowly."""


class FreshCaller(RoutedCaller):
    """Opens a new connection for each call."""

    async def _call_until_closed(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        started_s = time.monotonic()
        await self._call(reader, writer)
        await asyncio.sleep(self._pause_s(started_s))


class InnerCaller(RoutedCaller):
    """Makes the calls of a target at the node beside it."""

    def __init__(self, *args: Any) -> None:
        """Initialise without connections."""
        super().__init__(*args)
        self._idle: list[Connection] = []

    async def call(self) -> bool:
        """Make a call on a kept connection; return whether it succeeded."""
        with suppress(OSError):
            connection = (
                self._idle.pop()
                if self._idle
                else await asyncio.open_connection(*self._address)
            )
            outcome = await self._call(*connection)
            if outcome.status == LOST:
                connection[1].close()
            else:
                self._idle.append(connection)
            return bool(outcome.signature)
        return False

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()


class DeployedTarget:
    """The target beside a node; it reports to the node and serves calls.

    Parameters
    ----------
    host : str
        Address of the machine.
    mesh : DeployedMesh
        The processes.
    observations : Observations
        Receives the runs.
    inner : InnerCaller
        Makes the calls that a call needs.
    """

    def __init__(
        self,
        host: str,
        mesh: DeployedMesh,
        observations: Observations,
        inner: InnerCaller,
    ) -> None:
        """Initialise before the first start."""
        self.state = 'ready'
        self._host = host
        self._mesh = mesh
        self._observations = observations
        self.inner = inner
        self._starts = count(1)
        self._slots = asyncio.Semaphore(SLOTS)
        self.start_again()

    def start_again(self) -> None:
        """Start with an identifier of its own."""
        self.born = int(time.time() * 1000)
        self.name = f'i-{self._host}-{next(self._starts)}'
        self.state = 'ready'
        self._sequence = count(1)

    async def leave(self) -> None:
        """State that it leaves, and after a while that it has left."""
        self.state = 'draining'
        await self.report()
        await asyncio.sleep(_REPORT_S)
        self.state = 'gone'
        await self._send('DELETE', {})

    async def report_all_the_time(self) -> None:
        """Report until cancelled, again soon after a failure."""
        while True:
            acked = self.state == 'gone' or await self.report()
            await asyncio.sleep(_REPORT_S if acked else _RETRY_S)

    async def report(self) -> bool:
        """Report once; return whether it was acknowledged."""
        port = self._mesh.ports['target']
        return await self._send(
            'PUT',
            {
                'service': self._mesh.services[self._host],
                'address': f'{self._host}:{port}',
                'zone': self._mesh.place(self._host)[0],
                'version': 'v1',
                'slots': SLOTS,
                'state': self.state,
                'cold_remaining': '0ms',
                'sequence': next(self._sequence),
                'born': self.born,
            },
        )

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Serve a health check or a call."""
        if request.path == _HEALTH_PATH:
            status = 200 if self.state == 'ready' else 503
            return web.Response(
                status=status, headers={'Instance-Id': self.name}
            )
        request_id = request.headers['Request-Id']
        if request.headers.get('Expected-Instance', self.name) != self.name:
            headers = {'Request-Id': request_id, 'Not-Executed': '1'}
            return web.Response(status=421, headers=headers)
        async with self._slots:
            return await self._run(request, request_id)

    async def _run(
        self, request: web.BaseRequest, request_id: str
    ) -> web.Response:
        self._observations.runs_by_id[request_id] += 1
        self._mesh.hosts_by_request[request_id] = self._host
        name = request.path.split('/')[1]
        route = next(
            each for each in self._mesh.site.routes if each.name == name
        )
        service = self._mesh.services[self._host]
        if route.service != service:
            self._observations.broken.append(f'{request.path} at {service}')
        await request.read()
        await asyncio.sleep(route.run_s)
        is_served = name != self._mesh.site.calling or await self.inner.call()
        return web.Response(
            status=200 if is_served else 500,
            text=request_id,
            headers={
                'Request-Id': request_id,
                'Response-Signature': f'signed by {self._host}',
            },
        )

    async def _send(self, method: str, body: dict[str, Any]) -> bool:
        path = f'/api/instances/{self.name}'
        url = self._mesh.url(self._host, 'targets', path)
        with suppress(ClientError, TimeoutError):
            async with self._mesh.session.request(
                method, url, data=json.dumps(body), timeout=_REPORT_LIMIT
            ) as answer:
                return answer.status == 200
        return False


@asynccontextmanager
async def serving(target: DeployedTarget, address: Any) -> AsyncIterator[None]:
    """Serve the calls of a target, and report it."""
    runner = web.ServerRunner(web.Server(target.serve, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, *address).start()
    reports = asyncio.create_task(target.report_all_the_time())
    try:
        yield
    finally:
        reports.cancel()
        await runner.cleanup()
    target.inner.close()


def callers_of(
    host: str, mesh: DeployedMesh, observations: Observations, load: float
) -> list[RoutedCaller]:
    """Return the callers of a node, for a part of the stated load."""
    made: list[RoutedCaller] = []
    for route in mesh.site.routes:
        per_s = route.per_s * load / len(mesh.services)
        kinds = _kinds(route, per_s)
        for number, kind in enumerate(kinds):
            name = f'{host}-{route.name}{number}'
            caller = kind(name, (host, mesh.ports['http']), observations)
            caller.failed = []
            caller.begun_s = {}
            caller.route = route
            calls = BURST if kind is RoutedPipeliningCaller else 1
            caller.interval_s = calls * len(kinds) / per_s
            made.append(caller)
    return made


def inner_caller(
    host: str, mesh: DeployedMesh, observations: Observations
) -> InnerCaller:
    """Return the caller for the calls that a target makes."""
    address = (host, mesh.ports['http'])
    caller = InnerCaller(f'{host}-{INNER}', address, observations)
    caller.failed = []
    caller.begun_s = {}
    caller.route = next(each for each in mesh.site.routes if not each.per_s)
    return caller


def _kinds(route: Route, per_s: float) -> list[type[RoutedCaller]]:
    if not per_s:
        return []
    other = [RoutedSlowCaller, FreshCaller]
    kinds = other if route.is_once else [RoutedPipeliningCaller]
    return [*kinds, *repeat(RoutedCaller, math.ceil(per_s * _CALLERS_S))]
