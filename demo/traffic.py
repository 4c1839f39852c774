"""Callers of the demo: stock checks and prescriptions at all nodes."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import cycle
from typing import Final

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from demo.mesh import DemoMesh, Server

CALL_TIMEOUT_S: Final = 3.0
CALL_INTERVAL_S: Final = 0.008
STATUS_OK: Final = 200


class Caller:
    """Sends calls to the nodes in turn and records the answers.

    Parameters
    ----------
    mesh : DemoMesh
        Mesh whose nodes are called.
    session : ClientSession
        Session for the calls, with their timeout.
    """

    __slots__ = (
        '_mesh',
        '_session',
        'answered_calls',
        'answers',
        'calls',
        'mismatched',
        'not_run_ids',
        'posted_ids',
        'served_calls',
        'unanswered_by_node',
    )

    def __init__(self, mesh: DemoMesh, session: ClientSession) -> None:
        """Initialise with empty counts."""
        self._mesh = mesh
        self._session = session
        self.calls = 0
        self.answers: Counter[str] = Counter()
        self.answered_calls: list[tuple[float, str, int]] = []
        self.posted_ids: set[str] = set()
        self.unanswered_by_node: Counter[str] = Counter()
        self.served_calls: list[tuple[float, str]] = []
        self.not_run_ids: set[str] = set()
        self.mismatched = 0

    @property
    def lost(self) -> int:
        """Number of answers other than a target's status 200."""
        return sum(self.answers.values()) - self.answers[str(STATUS_OK)]

    async def run(self) -> None:
        """Send calls until cancelled; every fourth is a prescription (POST)."""
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
            self.posted_ids.add(name)
        try:
            async with self._session.request(
                method,
                f'http://{node}/{path}?call={name}',
                headers=headers,
                data=b'lens' if method == 'POST' else None,
            ) as response:
                self._record_answer(name, response, await response.json())
        except (ClientError, TimeoutError):
            self.unanswered_by_node[node] += 1

    def _record_answer(
        self,
        name: str,
        response: ClientResponse,
        body: dict[str, object],
    ) -> None:
        outcome = response.headers.get('x-mustardspur-outcome')
        if outcome == 'not-run':
            self.not_run_ids.add(name)
        if outcome:
            self.answers[outcome] += 1
            return
        self.answers[str(response.status)] += 1
        if body['request'] != name:
            self.mismatched += 1
        version = str(body['version'])
        self.answered_calls.append((time.time(), version, response.status))
        self.served_calls.append(
            (float(str(body['started_s'])), str(body['target']))
        )


async def control_bytes(mesh: DemoMesh) -> int:
    """Return the bytes of control traffic of all nodes, both ways."""
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
async def running_caller(mesh: DemoMesh) -> AsyncIterator[Caller]:
    """Yield a caller that sends calls until the end of the block."""
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as session:
        caller = Caller(mesh, session)
        task = asyncio.create_task(caller.run())
        try:
            yield caller
        finally:
            task.cancel()
            await asyncio.wait([task])
