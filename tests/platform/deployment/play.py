"""One play of a deployment: its processes, targets and callers."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any, Final

from tests.platform.deployment.memory import MemoryLimits
from tests.platform.deployment.mesh import DeployedMesh
from tests.platform.deployment.traffic import (
    DeployedTarget,
    RoutedCaller,
    inner_caller,
    serving,
)
from tests.platform.final_faults import orders
from tests.platform.final_faults.mesh import until_ended
from tests.platform.final_faults.play import Play
from tests.platform.soak.promises import Observations

# Time from the end of a process to its next start.
RESTART_S: Final = 0.3
_POLL_S: Final = 0.05
_ORDER_PAUSE_S: Final = 1.5


class DeploymentPlay(Play):
    """A deployment under the faults of one seed.

    Attributes
    ----------
    nodes : tuple of str
        Addresses of the nodes.
    targets : dict of DeployedTarget
        Target beside each node.
    callers : list of RoutedCaller
        Callers at all nodes.
    busy : set of str
        Machines that a fault has taken.
    max_ends : int
        Ends by itself after which a process is not started again.
    called_s : float
        How long the callers ran.
    memory : MemoryLimits
        Kills processes that use too much memory.
    ended_with_controls : tuple of str
        Nodes that lose power at the same moment as all control instances.
    final : str
        Name of the final fault.
    """

    mesh: DeployedMesh

    def __init__(self, mesh: DeployedMesh, random: Random) -> None:
        """Initialise before the first start."""
        super().__init__(mesh, random)
        self.nodes = tuple(mesh.services)
        self.observations = Observations()
        self.busy: set[str] = set()
        self.targets: dict[str, DeployedTarget] = {}
        self.max_ends = 1_000
        self.called_s: float = 1
        self.callers: list[RoutedCaller] = []
        self.memory = MemoryLimits(self)
        self.ended_with_controls: tuple[str, ...] = ()
        self.final = ''
        self.orders.pause_s = _ORDER_PAUSE_S
        self.orders.document = self._document
        # Processes that were stopped or frozen, beside their successors.
        self.taken: list[asyncio.subprocess.Process] = []
        # Ended processes that are to be started again.
        self._waiting: set[str] = set()

    async def start(self, host: str, *, first_start: bool = False) -> None:
        """Start a process; one that already runs at the address is kept."""
        self._waiting.discard(host)
        self.note(f'{host} starts')
        if host in self.nodes:
            await self.mesh.start_node(host, seeds=self.seeds)
        else:
            await super().start(host, first_start=first_start)

    async def end(self, host: str) -> None:
        """Kill a process, which owes its callers nothing any more."""
        self._waiting.discard(host)
        with self.observations.losses.excused(host):
            await super().end(host)

    async def end_all(self) -> None:
        """Kill all control instances, and the nodes that end with them."""
        await asyncio.gather(
            super().end_all(), *map(self.end, self.ended_with_controls)
        )

    async def stop(self, host: str) -> None:
        """Stop a process, and kill it at the end of its grace time."""
        process = self.take(host)
        if process is not None:
            process.terminate()
            await until_ended(process)

    def take(self, host: str) -> asyncio.subprocess.Process | None:
        """Take a running process from the supervisor."""
        self._waiting.discard(host)
        process = self.mesh.processes.pop(host, None)
        if process is not None and process.returncode is not None:
            self._note_end(host, process.returncode)
            return None
        if process is not None:
            self.taken.append(process)
        return process

    async def restart_ended(self) -> None:
        """Start processes that ended by themselves again, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(_POLL_S)
                for host in self._take_ended():
                    group.create_task(self._start_again(host))

    def kill_taken(self) -> None:
        """Kill the processes beside their successors, at the end."""
        for process in self.taken:
            if process.returncode is None:
                process.kill()

    @asynccontextmanager
    async def serving(self, host: str) -> AsyncIterator[None]:
        """Serve the calls of the target beside a node, and report it."""
        inner = inner_caller(host, self.mesh, self.observations)
        target = DeployedTarget(host, self.mesh, self.observations, inner)
        self.targets[host] = target
        async with serving(target, (host, self.mesh.ports['target'])):
            yield

    def signal_all(self, seeds: list[str]) -> None:
        """Exchange the seeds of all processes, and send them SIGHUP."""
        self.seeds = seeds
        for host in list(self.mesh.processes):
            self.mesh.exchange_seeds(host, seeds)
            self.signal(host, signal.SIGHUP)

    def _document(self, number: int, mark: str) -> dict[str, Any]:
        table = orders.document(number, mark)
        drafts = table['routes']['drafts']
        for route in self.mesh.site.routes:
            table['services'][route.service] = table['services']['forms']
            table['routes'][route.name] = {
                **drafts,
                'path_prefix': f'/{route.name}/',
                'kind': 'non_idempotent' if route.is_once else 'idempotent',
                'service': route.service,
            }
        return table

    def _take_ended(self) -> list[str]:
        processes = self.mesh.processes
        ended = [
            host for host in processes if processes[host].returncode is not None
        ]
        for host in ended:
            self.take(host)
        self._waiting.update(ended)
        return ended

    async def _start_again(self, host: str) -> None:
        await asyncio.sleep(RESTART_S)
        ends = sum(each.startswith(f'{host} ') for each in self.ended)
        is_wanted = host in self._waiting and ends < self.max_ends
        if is_wanted and host in {*self.nodes, *self.orders.hosts}:
            await self.start(host)
