"""Callers of the demo: stock checks and prescriptions at every node."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import cycle
from typing import Final

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from demo.mesh import Mesh, Server

CALL_TIMEOUT_S: Final = 3.0
CALL_INTERVAL_S: Final = 0.008
STATUS_OK: Final = 200


class Caller:
    """Sends calls to the nodes in turn and counts what came back.

    Parameters
    ----------
    mesh : Mesh
        Whose nodes are called.
    """

    __slots__ = (
        '_mesh',
        '_session',
        'answers',
        'calls',
        'not_run',
        'posted',
        'unanswered',
        'served',
        'versions',
        'wrong',
    )

    def __init__(self, mesh: Mesh, session: ClientSession) -> None:
        """Start with empty counts."""
        self._mesh = mesh
        self._session = session
        self.calls = 0
        self.answers: Counter[str] = Counter()
        self.versions: list[tuple[float, str, int]] = []
        self.posted: set[str] = set()
        self.unanswered: Counter[str] = Counter()
        self.served: list[tuple[float, str]] = []
        self.not_run: set[str] = set()
        self.wrong = 0

    @property
    def lost(self) -> int:
        """Calls without an answer of a target with status 200."""
        return sum(self.answers.values()) - self.answers[str(STATUS_OK)]

    async def run(self) -> None:
        """Call until cancelled; every fourth call is a prescription."""
        async with asyncio.TaskGroup() as group:
            servers = cycle(self._mesh.servers)
            while True:
                method = 'GET' if self.calls % 4 else 'POST'
                node = next(servers).node_address
                group.create_task(self._call(node, method))
                await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, node: str, method: str) -> None:
        self.calls += 1
        name = f'call-{self.calls}'
        path = 'stock' if method == 'GET' else 'prescriptions'
        headers = {'x-request-id': name}
        if method == 'POST':
            headers['idempotency-key'] = name
            self.posted.add(name)
        try:
            async with self._session.request(
                method,
                f'http://{node}/{path}?call={name}',
                headers=headers,
                data=b'lens' if method == 'POST' else None,
            ) as response:
                self._count(name, response, await response.json())
        except (ClientError, TimeoutError):
            self.unanswered[node] += 1

    def _count(
        self,
        name: str,
        response: ClientResponse,
        body: dict[str, object],
    ) -> None:
        outcome = response.headers.get('x-mustardspur-outcome')
        if outcome == 'not-run':
            self.not_run.add(name)
        if outcome:
            self.answers[outcome] += 1
            return
        self.answers[str(response.status)] += 1
        if body['request'] != name:
            self.wrong += 1
        version = str(body['version'])
        self.versions.append((time.time(), version, response.status))
        self.served.append((float(str(body['started_s'])), str(body['target'])))


async def control_bytes(mesh: Mesh) -> int:
    """Return what all nodes together sent and received for control."""
    async with ClientSession() as session:
        statuses = await asyncio.gather(
            *(_status(session, server) for server in mesh.servers),
        )
    return sum(
        status['control_bytes_sent'] + status['control_bytes_received']
        for status in statuses
    )


async def _status(session: ClientSession, server: Server) -> dict[str, int]:
    url = f'http://{server.node_address}/mustardspur/v1/status'
    async with session.get(url) as response:
        status: dict[str, int] = await response.json()
    return status


@asynccontextmanager
async def calling(mesh: Mesh) -> AsyncIterator[Caller]:
    """Send calls for the length of a block."""
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as session:
        caller = Caller(mesh, session)
        task = asyncio.create_task(caller.run())
        try:
            yield caller
        finally:
            task.cancel()
            await asyncio.wait([task])
