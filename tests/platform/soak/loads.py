"""Loads and limits that a soak changes; planned apart from other orders."""

import asyncio
from itertools import count, cycle
from typing import Final

from aiohttp import ClientError, ClientTimeout

from tests.platform.mesh_processes import HANG_LIMIT_S, HOST
from tests.platform.soak.accounts import KEYS
from tests.platform.soak.faults import FaultFunction, claimed
from tests.platform.soak.limits import TABLE_IN_FORCE_S
from tests.platform.soak.plan import MIN_LENGTH_S, PlannedFault
from tests.platform.soak.target import DEADLY, DOWN_S
from tests.platform.soak.traffic import DEADLINE_MS
from tests.platform.soak.world import NODES, World
from tests.support.virtual_time import ticks

loads_by_kind: dict[str, FaultFunction] = {}
# A hot account calls with 4 to 8 times its typical use.
MIN_HEAT: Final = 4
# Time for which a lowered limit is checked.
LOWERED_S: Final = 5.0
# Limits that a target states, one after the other; the last one is the lowest.
STATED_PER_S: Final = (24.0, 8.0)
STATED_S: Final = 2.5
DEADLY_ATTEMPTS: Final = 14
_CALL_LIMIT: Final = ClientTimeout(total=2 * DEADLINE_MS / 1000)
_deadly_numbers = count()


def load(function: FaultFunction) -> FaultFunction:
    """Register a load or a change of a limit under its name."""
    loads_by_kind[function.__name__] = function
    return function


@load
async def heat(world: World, planned: PlannedFault) -> None:
    """Make the paced account hot for a while."""
    limits = world.observations.limits
    async with claimed(world, 'heat') as free:
        if free:
            limits.heat = MIN_HEAT * (1 + planned.pick)
            await asyncio.sleep(planned.length_s + STATED_S)
            limits.heat = 1


@load
async def lower_limit(world: World, planned: PlannedFault) -> None:
    """Lower the limit of the hot account to a third, and raise it again."""
    limits = world.observations.limits
    async with claimed(world, 'heat') as free:
        if not free:
            return
        limits.heat = MIN_HEAT * (1 + planned.pick)
        limits.lowered = True
        await _until_acked(world, planned)
        await asyncio.sleep(TABLE_IN_FORCE_S + LOWERED_S)
        limits.raise_limit()
        await _until_acked(world, planned)
        limits.heat = 1


@load
async def limit_target(world: World, planned: PlannedFault) -> None:
    """Let a target state a rate limit, a lower one, and none again."""
    host = planned.choose(NODES)
    async with claimed(world, f'limit of {host}') as free:
        if not free:
            return
        async for number in ticks(len(STATED_PER_S), STATED_S):
            world.targets[host].state_limit(STATED_PER_S[number])
        world.targets[host].state_limit(None)


@load
async def crash(world: World, planned: PlannedFault) -> None:
    """Send a call that crashes targets at all nodes, again and again."""
    name = f'{DEADLY}{next(_deadly_numbers)}'
    nodes = cycle(NODES)
    async with claimed(world, DEADLY) as free:
        attempts = DEADLY_ATTEMPTS if free else 0
        async for number in ticks(attempts, 2 * DOWN_S):
            await _send_deadly(world, next(nodes), name, number)


async def _send_deadly(
    world: World,
    node: str,
    name: str,
    number: int,
) -> None:
    try:
        async with world.mesh.session.get(
            world.mesh.url(node, 'http', f'/drafts/{name}'),
            headers={
                'Host': HOST,
                'Request-Id': f'{name}-{number}',
                'Deadline-Ms': str(DEADLINE_MS),
                'Authorization': f'Bearer {KEYS[0]}',
            },
            timeout=_CALL_LIMIT,
        ) as answer:
            await answer.read()
    except (ClientError, TimeoutError):
        # The node is down or paused; the next attempt goes to another one.
        return


async def _until_acked(world: World, planned: PlannedFault) -> None:
    hosts = cycle((planned.choose(world.controls), *world.controls))
    async with asyncio.timeout(HANG_LIMIT_S):
        while not await world.edit(next(hosts), world.number + 1, world.number):
            await asyncio.sleep(MIN_LENGTH_S)
