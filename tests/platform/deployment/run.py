"""One seeded play of a deployment: faults in two series, then a final one."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, Final

from aiohttp import ClientSession, TCPConnector

from tests.platform.deployment import steps
from tests.platform.deployment.mesh import DeployedLauncher, DeployedMesh
from tests.platform.deployment.play import DeploymentPlay
from tests.platform.deployment.results import result_of, until_served
from tests.platform.deployment.sites import SITES
from tests.platform.deployment.traffic import callers_of
from tests.platform.final_faults import steps as final_steps
from tests.platform.final_faults.play import START_SPREAD_S, SYNC_S
from tests.platform.mesh_processes import reserved_ports
from tests.support.virtual_time import ticks

KINDS: Final = tuple(steps.OF_CONTROLS)
# Traffic before the first fault, and after the last one.
CALM_S: Final = 2.0
# More than fit into the length of a play.
_MOST_STEPS: Final = 1000
_FIRST_NODE: Final = 21
# More than are replaced in a play.
_NEW_CONTROLS: Final = range(5, _FIRST_NODE)
_MOSTLY_KILLED: Final = ('disk+killed', 'disk+killed', 'disk+killed', 'killed')
_FINALS: Final = MappingProxyType(
    {
        'killed': _MOSTLY_KILLED,
        'recorded': (*_MOSTLY_KILLED, 'disk+power', 'power'),
    }
)


async def play_deployment(
    site: str,
    kind: str,
    seed: int,
    folder: Path,
    *,
    load: float = 1,
    length_s: float = 20,
    **changes: Any,
) -> dict[str, Any]:
    """Play one seed at a part of the stated load; return what was seen.

    Changes are those of attributes of the play.
    """
    async with running(site, kind, seed, folder) as play:
        play.final = play.random.choice(_FINALS[kind])
        for name, changed in changes.items():
            setattr(play, name, changed)
        async with asyncio.TaskGroup() as group:
            supervision = group.create_task(_supervise(play))
            try:
                await _play(play, kind, load, length_s)
            except TimeoutError:
                play.orders.broken.append('a step did not end')
            supervision.cancel()
        return {'site': site, 'kind': kind, 'seed': seed, **result_of(play)}


async def _supervise(play: DeploymentPlay) -> None:
    await asyncio.gather(play.restart_ended(), play.memory.watch())


async def _play(
    play: DeploymentPlay, kind: str, load: float, length_s: float
) -> None:
    if kind == 'recorded':
        # Without a delay, hardly a write is unsynced as the power is lost.
        for host in play.orders.hosts:
            play.mesh.set_faults(host, sync_s=play.random.choice(SYNC_S))
    await asyncio.gather(
        play.start_all(first_start=True), start_nodes(play, play.nodes)
    )
    await play.until_counting()
    async with calling(play, load):
        await asyncio.sleep(CALM_S)
        ordering = asyncio.create_task(play.orders.order_all_the_time())
        until_s = time.monotonic() + length_s
        await asyncio.gather(
            _series(play, steps.OF_NODES, until_s),
            _series(play, steps.OF_CONTROLS[kind], until_s),
        )
        # All machines lose power, or those of the control instances.
        play.ended_with_controls = play.random.choice((play.nodes, ()))
        await final_steps.FINAL[play.final](play)
        ordering.cancel()
        play.note(f'{len(play.ended_with_controls)} nodes ended as well')
        holding = asyncio.create_task(_hold_at_end(play))
        ended = play.ended_with_controls
        await asyncio.gather(play.start_all(), start_nodes(play, ended))
        await asyncio.gather(play.read_back(), until_served(play), holding)
        await asyncio.sleep(CALM_S)


async def start_nodes(play: DeploymentPlay, hosts: Iterable[str]) -> None:
    """Start nodes within 0.3 s, in any order."""
    starts = (_start_later(play, host) for host in hosts)
    await asyncio.gather(*starts)


async def _start_later(play: DeploymentPlay, host: str) -> None:
    await asyncio.sleep(play.random.uniform(0, START_SPREAD_S))
    await play.start(host)


async def _hold_at_end(play: DeploymentPlay) -> None:
    """Hold a port of a control instance, sometimes, while it starts."""
    port = play.random.choice(('stream', 'http', ''))
    if port:
        await steps.hold(play, play.random.choice(play.orders.hosts), port)


@asynccontextmanager
async def calling(play: DeploymentPlay, load: float) -> AsyncIterator[None]:
    """Call all nodes while the context is active."""
    play.callers = [
        caller
        for host in play.nodes
        for caller in callers_of(host, play.mesh, play.observations, load)
    ]
    async with asyncio.TaskGroup() as group:
        started_s = time.monotonic()
        stalls = group.create_task(play.observations.losses.watch_stalls())
        calls = [group.create_task(caller.run()) for caller in play.callers]
        try:
            yield
        finally:
            await _stop_callers(play, calls)
            stalls.cancel()
    play.called_s = time.monotonic() - started_s


async def _stop_callers(
    play: DeploymentPlay, calls: list[asyncio.Task[None]]
) -> None:
    for caller in play.callers:
        caller.stopped = True
    await asyncio.gather(*calls)


async def _series(
    play: DeploymentPlay, kinds: Sequence[steps.Step], until_s: float
) -> None:
    async for _ in ticks(_MOST_STEPS, 0):
        if time.monotonic() > until_s:
            return
        await play.random.choice(kinds)(play)
        await asyncio.sleep(play.random.uniform(0, 1))


@asynccontextmanager
async def running(
    site: str, kind: str, seed: int, folder: Path
) -> AsyncIterator[DeploymentPlay]:
    """Yield a deployment without processes; kill its processes at the end."""
    async with AsyncExitStack() as stack:
        ports = stack.enter_context(reserved_ports())
        session = await stack.enter_async_context(
            ClientSession(connector=TCPConnector(limit=0))
        )
        launcher = DeployedLauncher(folder)
        launcher.is_recorded = kind == 'recorded'
        mesh = DeployedMesh(folder, session, ports, launcher)
        stack.push_async_callback(mesh.end_all)
        mesh.site = SITES[site]
        mesh.hosts_by_request = {}
        mesh.services = {
            f'127.0.7.{number}': service
            for number, service in enumerate(mesh.site.services, _FIRST_NODE)
        }
        play = DeploymentPlay(mesh, Random(f'{site} {kind} {seed}'))
        play.new_controls = [f'127.0.7.{number}' for number in _NEW_CONTROLS]
        stack.callback(play.kill_taken)
        await asyncio.gather(
            *(
                stack.enter_async_context(play.serving(host))
                for host in play.nodes
            )
        )
        yield play
