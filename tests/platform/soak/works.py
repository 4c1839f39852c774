"""Planned work of a soak; planned apart from the faults."""

import asyncio
import signal
from typing import Final

from tests.platform.mesh_processes import until_sighup_harmless
from tests.platform.soak.faults import FaultFunction, claimed
from tests.platform.soak.ends import stop_process
from tests.platform.soak.plan import PlannedFault
from tests.platform.soak.world import NODES, World
from tests.support.virtual_time import ticks

works_by_kind: dict[str, FaultFunction] = {}
RELOADS: Final = 8
RELOAD_INTERVAL_S: Final = 0.05
# Share of the length of the work; up to 0.3 s, about as long as a start.
EARLY_SHARE: Final = 0.1
# Longest time around a stop in which a node gets no processor time; with more,
# a request that is placed before the stop may be cut off by the kill.
MAX_PAUSE_S: Final = 1.5


def work(function: FaultFunction) -> FaultFunction:
    """Register planned work under the name of its function."""
    works_by_kind[function.__name__] = function
    return function


@work
async def stop_again(world: World, planned: PlannedFault) -> None:
    """Stop a node, and send further signals while it stops."""
    host = planned.choose(NODES)
    async with claimed(world, host) as free:
        if free:
            process = world.mesh.processes[host]
            stopping = asyncio.create_task(stop_process(world, host))
            await asyncio.sleep(planned.length_s)
            for number in (signal.SIGTERM, signal.SIGHUP):
                if process.returncode is None:
                    process.send_signal(number)
            await stopping
            await world.restart(host)


@work
async def stop_paused(world: World, planned: PlannedFault) -> None:
    """Stop a node that gets no processor time around the signal."""
    host = planned.choose(NODES)
    async with claimed(world, host) as free:
        if free:
            process = world.mesh.processes[host]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(min(planned.length_s, MAX_PAUSE_S) / 2)
            stopping = asyncio.create_task(stop_process(world, host))
            await asyncio.sleep(min(planned.length_s, MAX_PAUSE_S) / 2)
            process.send_signal(signal.SIGCONT)
            await stopping
            await world.restart(host)


@work
async def roll(world: World, planned: PlannedFault) -> None:
    """Stop and start all nodes one after the other, with overlap."""
    pauses = (planned.length_s * number for number in range(len(NODES)))
    await asyncio.gather(
        *(
            _stop_later(world, host, pause_s)
            for host, pause_s in zip(NODES, pauses, strict=True)
        ),
    )


@work
async def reload_often(world: World, planned: PlannedFault) -> None:
    """Send a node SIGHUP again and again, with unchanged settings."""
    host = planned.choose(NODES)
    async with claimed(world, host) as free:
        if not free:
            return
        await until_sighup_harmless(world.mesh.processes[host].pid)
        async for _ in ticks(RELOADS, RELOAD_INTERVAL_S):
            world.signal(host, signal.SIGHUP)


@work
async def reload_early(world: World, planned: PlannedFault) -> None:
    """Restart a node, and send it SIGHUP as early as it is harmless, and
    again while it starts.
    """
    host = planned.choose(NODES)
    async with claimed(world, host) as free:
        if free:
            await stop_process(world, host)
            await world.restart(host)
            await until_sighup_harmless(world.mesh.processes[host].pid)
            world.signal(host, signal.SIGHUP)
            await asyncio.sleep(planned.length_s * EARLY_SHARE)
            world.signal(host, signal.SIGHUP)


async def _stop_later(world: World, host: str, pause_s: float) -> None:
    await asyncio.sleep(pause_s)
    async with claimed(world, host) as free:
        if free:
            await stop_process(world, host)
            await world.restart(host)
