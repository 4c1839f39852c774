"""Processes, targets and callers of a soak."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from http import HTTPStatus
from itertools import count
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientTimeout

from tests.platform.mesh_processes import Mesh, configuration, running_mesh
from tests.platform.soak.promises import Observations
from tests.platform.soak.target import FaultyProxy, running_target
from tests.platform.soak.traffic import Caller

CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
NODES: Final = ('127.0.7.21', '127.0.7.22', '127.0.7.23')
CALLERS_PER_NODE: Final = 3
REPORT_INTERVAL_S: Final = 0.4
_ORDER_LIMIT: Final = ClientTimeout(total=2)


class World:
    """Everything that takes part in a soak.

    Parameters
    ----------
    mesh : Mesh
        The processes.
    proxies : dict of FaultyProxy
        Proxies in front of the targets, by node.
    """

    def __init__(self, mesh: Mesh, proxies: dict[str, FaultyProxy]) -> None:
        """Initialise before the first edit."""
        self.mesh = mesh
        self.proxies = proxies
        self.observations = Observations()
        # A process that a fault stops or pauses is left alone by others.
        self.busy: set[str] = set()
        self.number = 0
        self.controls: tuple[str, ...] = CONTROLS
        self._marks = count()
        self._reports = count(1)

    async def restart(self, host: str) -> None:
        """Start a process again after its end."""
        if host in self.controls:
            await self.mesh.start_control(host, first_start=False)
        else:
            await self.mesh.start_node(host)

    async def replace(self, host: str, successor: str) -> None:
        """Remove a control instance for good, and add its successor."""
        await self.mesh.kill(host)
        self.mesh.wipe(host)
        self.controls = (
            *(each for each in self.controls if each != host),
            successor,
        )
        await self.mesh.start_control(successor, first_start=False)

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a process of this soak."""
        self.mesh.processes[host].send_signal(number)

    async def edit(self, host: str, number: int, base: int) -> bool:
        """Send an edit once, and return whether it was acknowledged."""
        mark = f'mark-{next(self._marks)}'
        url = self.mesh.url(host, 'http', '/api/config')
        try:
            async with self.mesh.session.put(
                url,
                json=_configuration(number, mark),
                headers={'If-Match': f'r{base}'},
                timeout=_ORDER_LIMIT,
            ) as answer:
                acked = answer.status == HTTPStatus.OK
        except (ClientError, TimeoutError):
            return False
        if acked:
            self.observations.record_ack(number, mark)
            self.number = max(self.number, number)
        else:
            await self._update_number(url)
        return acked

    async def read(self) -> dict[str, Any]:
        """Read the configuration that is in force."""
        url = self.mesh.url(CONTROLS[0], 'http', '/api/config')
        body = await self.mesh.until('GET', url)
        document: dict[str, Any] = json.loads(body)
        return document

    async def report_targets(self) -> None:
        """Report all targets until cancelled."""
        while True:
            await asyncio.gather(*map(self._report, NODES))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _update_number(self, url: str) -> None:
        """Read the number in force; an edit may be, though unanswered."""
        try:
            async with self.mesh.session.get(
                url, timeout=_ORDER_LIMIT
            ) as answer:
                if answer.status == HTTPStatus.OK:
                    self.number = number_of(await answer.json())
        except (ClientError, TimeoutError):
            # No quorum answers now; the next edit tries again.
            return

    async def _report(self, host: str) -> None:
        port = self.mesh.ports['target']
        url = self.mesh.url(host, 'targets', f'/api/instances/i-{host}')
        report = {
            'service': 'forms',
            'address': f'{host}:{port}',
            'zone': 'split-a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'cold_remaining': '0ms',
            'sequence': next(self._reports),
            'born': 1000,
        }
        try:
            async with self.mesh.session.put(
                url, json=report, timeout=_ORDER_LIMIT
            ):
                return
        except (ClientError, TimeoutError):
            # The node is down or paused; the next report follows.
            return


def _configuration(number: int, mark: str) -> dict[str, Any]:
    document = configuration(number)
    drafts = document['routes']['drafts']
    document['routes']['filings'] = {
        **drafts,
        'path_prefix': '/filings/',
        'kind': 'non_idempotent',
    }
    # An unused route tells two edits of one number apart.
    document['routes'][mark] = {**drafts, 'path_prefix': f'/{mark}/'}
    return document


def number_of(document: dict[str, Any]) -> int:
    """Return the number of a configuration that was read."""
    return int(document['version'].removeprefix('r'))


def mark_of(document: dict[str, Any]) -> str:
    """Return the mark of an edit that was read."""
    marks: list[str] = [
        name for name in document['routes'] if name.startswith('mark-')
    ]
    return marks[0]


@asynccontextmanager
async def running_world(folder: Path) -> AsyncIterator[World]:
    """Run a mesh that serves its first configuration."""
    async with AsyncExitStack() as stack:
        mesh = await stack.enter_async_context(running_mesh(folder))
        world = World(mesh, {})
        port = mesh.ports['target']
        targets = [
            running_target(node, port, world.observations) for node in NODES
        ]
        proxies = await asyncio.gather(
            *map(stack.enter_async_context, targets),
        )
        world.proxies = dict(zip(NODES, proxies, strict=True))
        await asyncio.gather(
            *(mesh.start_control(each, first_start=True) for each in CONTROLS),
            *map(mesh.start_node, NODES),
        )
        while not await world.edit(CONTROLS[0], 1, 0):
            await asyncio.sleep(REPORT_INTERVAL_S)
        yield world


def callers(world: World) -> list[Caller]:
    """Return the callers of all nodes."""
    port = world.mesh.ports['http']
    return [
        Caller(f'{host}-{number}', (host, port), world.observations)
        for host in NODES
        for number in range(CALLERS_PER_NODE)
    ]


@asynccontextmanager
async def calling(world: World) -> AsyncIterator[None]:
    """Report the targets and call all nodes while the context is active."""
    traffic = callers(world)
    async with asyncio.TaskGroup() as group:
        reports = group.create_task(world.report_targets())
        tasks = [group.create_task(each.run()) for each in traffic]
        yield
        for caller in traffic:
            caller.stopped = True
        await asyncio.gather(*tasks)
        reports.cancel()
