"""One soak: faults by a seed under traffic, then the checks."""

import asyncio
from http import HTTPStatus
from pathlib import Path
from typing import Final

from mustardspur_core.record import Record

from tests.platform.soak.faults import faults_by_kind
from tests.platform.soak.plan import PlannedFault, plan
from tests.platform.soak.world import (
    CONTROLS,
    World,
    callers,
    calling,
    mark_of,
    number_of,
    running_world,
)

RATE_PER_S: Final = 0.8
# Traffic before the first and after the last fault.
CALM_S: Final = 2.0
# Upper bound for a hanging soak; no check depends on the time of a step.
RECOVERY_LIMIT_S: Final = 60.0
_POLL_S: Final = 0.2


class SoakResult(Record):
    """Result of one soak.

    Parameters
    ----------
    served, asked : int
        Requests that were answered with success, and all.
    findings : list of str
        Broken promises.
    """

    __slots__ = ('seed', 'faults', 'asked', 'served', 'findings')
    seed: int
    faults: list[str]
    asked: int
    served: int
    findings: list[str]


async def soak(seed: int, length_s: float, folder: Path) -> SoakResult:
    """Run the faults of a seed and return what they broke."""
    planned = plan(seed, sorted(faults_by_kind), length_s, RATE_PER_S)
    async with running_world(folder) as world:
        async with calling(world):
            await asyncio.sleep(CALM_S)
            await asyncio.gather(*(_play(world, each) for each in planned))
            await _check_recovery(world)
        document = await world.read()
        observations = world.observations
    observations.record_read_back(number_of(document), mark_of(document))
    statuses = [
        outcome.status for outcome in observations.outcomes_by_id.values()
    ]
    return SoakResult(
        seed=seed,
        faults=[f'{each.at_s:.1f} {each.kind}' for each in planned],
        asked=len(statuses),
        served=statuses.count(HTTPStatus.OK),
        findings=observations.findings(),
    )


async def _play(world: World, planned: PlannedFault) -> None:
    await asyncio.sleep(planned.at_s)
    await faults_by_kind[planned.kind](world, planned)


async def _check_recovery(world: World) -> None:
    """Wait until each node serves its callers again, and an edit is taken."""
    try:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            await _until_served(world)
    except TimeoutError:
        world.observations.broken.append('no recovery after the faults')


async def _until_served(world: World) -> None:
    seen = set(world.observations.outcomes_by_id)
    missing = {caller.name for caller in callers(world)}
    while missing:
        await asyncio.sleep(_POLL_S)
        outcomes = world.observations.outcomes_by_id
        for request_id in outcomes.keys() - seen:
            if outcomes[request_id].status == HTTPStatus.OK:
                missing.discard(request_id.rpartition('-')[0])
    while not await world.edit(CONTROLS[0], world.number + 1, world.number):
        await asyncio.sleep(_POLL_S)
