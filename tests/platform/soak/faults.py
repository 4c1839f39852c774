"""Faults of a soak; each acts on a process or a connection from outside."""

import asyncio
import json
import math
import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, nullcontext
from itertools import cycle
from pathlib import Path
from typing import Any, Final

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    POLL_S,
    until_sighup_harmless,
)
from tests.platform.soak.ends import kill_process, stop_process
from tests.platform.soak.plan import MIN_LENGTH_S, PlannedFault
from tests.platform.soak.world import CONTROLS, DATA_CENTRES, NODES, World

FaultFunction = Callable[[World, PlannedFault], Coroutine[Any, Any, None]]

faults_by_kind: dict[str, FaultFunction] = {}
# Orders and states of targets are planned apart from the faults, so that the
# faults of a seed stay the same when a kind of order is added.
orders_by_kind: dict[str, FaultFunction] = {}
SUCCESSOR: Final = '127.0.7.4'
# Name under which the one order for data centres at a time is claimed.
_ORDERS: Final = 'orders'
# Time after which a second lost disk is borne: the successor has caught up and
# the lost instance has stopped counting.
CATCH_UP_S: Final = 6.0
_PROXY_MODES: Final = ('delay', 'reset', 'silent', 'one_way')


def fault(function: FaultFunction) -> FaultFunction:
    """Register a fault under the name of its function."""
    faults_by_kind[function.__name__] = function
    return function


def order(function: FaultFunction) -> FaultFunction:
    """Register an order or a change of a target under its name."""
    orders_by_kind[function.__name__] = function
    return function


@asynccontextmanager
async def claimed(world: World, host: str) -> AsyncIterator[bool]:
    """Keep other faults from a process; False if one has it."""
    if host in world.busy:
        yield False
        return
    world.busy.add(host)
    limits = world.observations.limits
    is_process = host in world.mesh.processes or host == SUCCESSOR
    try:
        with limits.disturbing() if is_process else nullcontext():
            yield True
    finally:
        world.busy.discard(host)


async def _until_sighup_handled(pid: int) -> None:
    """Wait until a process has started; it does not start with settings that
    it cannot read.
    """
    path = Path('/proc', str(pid), 'status')
    handled = 0
    async with asyncio.timeout(HANG_LIMIT_S):
        while not handled & (1 << (signal.SIGHUP - 1)):
            _, _, rest = path.read_text('utf-8').partition('SigCgt:')
            handled = int(rest.split()[0], base=16)
            await asyncio.sleep(POLL_S)


def _is_lost_one_counted(world: World) -> bool:
    """Return whether a replaced instance may still count as a voter.

    A leader that is lost meanwhile removes it later than usual.
    """
    if world.controls == CONTROLS:
        return False
    voters = json.dumps(sorted(world.controls))
    log = world.mesh.folder / f'{SUCCESSOR}.log'
    return f'"voters": {voters}' not in log.read_text('utf-8')


@fault
async def kill(world: World, planned: PlannedFault) -> None:
    """Kill a process and start it again."""
    host = planned.choose(world.controls + NODES)
    async with claimed(world, host) as free:
        if free:
            await kill_process(world, host)
            await asyncio.sleep(planned.length_s)
            await world.restart(host)


@fault
async def stop(world: World, planned: PlannedFault) -> None:
    """Stop a node as planned work does, and start it again."""
    host = planned.choose(NODES)
    async with claimed(world, host) as free:
        if free:
            await stop_process(world, host)
            await world.restart(host)


@fault
async def pause(world: World, planned: PlannedFault) -> None:
    """Pause a process for a while."""
    host = planned.choose(world.controls + NODES)
    async with claimed(world, host) as free:
        if free:
            with world.observations.losses.excused(host):
                world.signal(host, signal.SIGSTOP)
                await asyncio.sleep(planned.length_s)
                world.signal(host, signal.SIGCONT)


@fault
async def wipe(world: World, planned: PlannedFault) -> None:
    """Take the disk of one control instance while all others keep theirs."""
    host = planned.choose(world.controls)
    if world.busy & set(world.controls) or _is_lost_one_counted(world):
        return
    async with claimed(world, host):
        await world.mesh.kill(host)
        world.mesh.wipe(host)
        await world.restart(host)
        # A second loss is borne only once this instance has its log again; it
        # knows the leader before that.
        await world.mesh.until_logged(host, 'refilled')
        await asyncio.sleep(planned.length_s)


@fault
async def replace(world: World, planned: PlannedFault) -> None:
    """Replace a control instance for good, once; the first one is read.

    Its successor gets SIGHUP as early as it is harmless.
    """
    host = planned.choose(CONTROLS[1:])
    if world.busy & set(world.controls) or world.controls != CONTROLS:
        return
    async with claimed(world, host), claimed(world, SUCCESSOR):
        await world.replace(host, SUCCESSOR)
        await until_sighup_harmless(world.mesh.processes[SUCCESSOR].pid)
        world.signal(SUCCESSOR, signal.SIGHUP)
        await world.mesh.until_logged(SUCCESSOR, 'leader_known')
        await asyncio.sleep(CATCH_UP_S)


@fault
async def reload(world: World, planned: PlannedFault) -> None:
    """Send a process settings that cannot be read, then the former ones."""
    host = planned.choose(world.controls + NODES)
    async with claimed(world, host) as free:
        if not free:
            return
        pid = world.mesh.processes[host].pid
        await until_sighup_harmless(pid)
        world.signal(host, signal.SIGHUP)
        await _until_sighup_handled(pid)
        path = world.mesh.folder / f'{host}.json'
        valid = path.read_text('utf-8')
        path.write_text(valid[: len(valid) // 2], 'utf-8')
        world.signal(host, signal.SIGHUP)
        await asyncio.sleep(planned.length_s)
        path.write_text(valid, 'utf-8')
        world.signal(host, signal.SIGHUP)


@fault
async def disturb(world: World, planned: PlannedFault) -> None:
    """Delay, reset or silence the connections to a target."""
    proxy = world.targets[planned.choose(NODES)].proxy
    proxy.mode = planned.choose(_PROXY_MODES)
    await asyncio.sleep(planned.length_s)
    proxy.mode = 'pass'


@fault
async def race(world: World, planned: PlannedFault) -> None:
    """Send two edits of the same number at the same time."""
    base = world.number
    await asyncio.gather(
        world.edit(planned.choose(world.controls), base + 2, base),
        world.edit(CONTROLS[0], base + 2, base),
    )


@fault
async def edit(world: World, planned: PlannedFault) -> None:
    """Send an edit, again until it is settled."""
    base = world.number
    await world.edit(planned.choose(world.controls), base + 1, base)


@order
async def evacuate(world: World, planned: PlannedFault) -> None:
    """Evacuate a data centre, if none is."""
    async with claimed(world, _ORDERS) as free:
        if free and world.evacuated is None:
            places = tuple(sorted(set(DATA_CENTRES.values())))
            await world.evacuate(planned.choose(places))


@order
async def readmit(world: World, _: PlannedFault) -> None:
    """Take an evacuation back, if one is in force."""
    async with claimed(world, _ORDERS) as free:
        if free:
            await world.readmit()


@order
async def restart_all(world: World, planned: PlannedFault) -> None:
    """Kill all processes at once, and start them again."""
    hosts = {*world.controls, *NODES}
    if world.busy & hosts:
        return
    world.busy |= hosts
    with world.observations.limits.disturbing():
        await asyncio.gather(*(kill_process(world, host) for host in hosts))
        await asyncio.sleep(planned.length_s)
        await asyncio.gather(*map(world.restart, hosts))
    # No process knows the crashes of before.
    world.observations.limits.crashes.clear()
    world.busy -= hosts


@order
async def restart_target(world: World, planned: PlannedFault) -> None:
    """Reset the connections of a target, which is cold after it."""
    target = world.targets[planned.choose(NODES)]
    target.proxy.mode = 'reset'
    await asyncio.sleep(planned.length_s)
    target.start_again()
    target.proxy.mode = 'pass'


@order
async def turn_cold(world: World, planned: PlannedFault) -> None:
    """Make a target cold while it is called."""
    world.targets[planned.choose(NODES)].turn_cold()


@order
async def withdraw_key(world: World, planned: PlannedFault) -> None:
    """Withdraw a key by an edit, again until one is acknowledged."""
    periods = world.observations.periods
    if periods.withdrawing:
        return
    periods.withdrawing = True
    hosts = cycle((planned.choose(world.controls), *world.controls))
    async with asyncio.timeout(HANG_LIMIT_S):
        while periods.withdrawn_s == math.inf:
            await world.edit(next(hosts), world.number + 1, world.number)
            await asyncio.sleep(MIN_LENGTH_S)
