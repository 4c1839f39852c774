"""One seeded play: disturbances, then a final fault, then reads."""

import asyncio
from pathlib import Path
from random import Random
from typing import Final

from tests.platform.final_faults import steps
from tests.platform.final_faults.mesh import running_faulty_mesh
from tests.platform.final_faults.play import SYNC_S, Play, read_on

# Reads go on this long after all instances answered.
READ_ON_S: Final = 8.0
KINDS: Final = (*steps.BEFORE, 'mixed', 'formation', 'early', 'late')
# Kinds that begin with the first orders, before all instances count.
_UNFORMED: Final = ('early', 'late')
_MIXED: Final = ('full', 'clock', 'frozen', 'wiped')


async def play_seed(
    kind: str,
    seed: int,
    folder: Path,
    read_on_s: float = READ_ON_S,
) -> Play:
    """Play one seed; return it with its steps and findings."""
    async with running_faulty_mesh(folder) as mesh:
        play = Play(mesh, Random(f'{kind} {seed}'))
        try:
            await _play(play, kind)
            if not play.orders.broken:
                await read_on(play, read_on_s)
        except TimeoutError:
            play.orders.broken.append('a step did not end')
        return play


async def _play(play: Play, kind: str) -> None:
    for host in play.orders.hosts:
        play.mesh.set_faults(host, sync_s=play.random.choice(SYNC_S))
    restarts = asyncio.create_task(play.restart_ended())
    if kind == 'late':
        steps.leave_one_out(play)
    await play.start_all(first_start=True)
    if kind == 'formation':
        await steps.formation(play)
    if kind not in _UNFORMED:
        await play.until_counting()
    ordering = asyncio.create_task(play.orders.order_all_the_time())
    disturbances = _disturbances(play, kind)
    while disturbances:
        await disturbances.pop(0)(play)
    finals = sorted(steps.FINAL)
    if kind in {'often', *_UNFORMED}:
        finals = ['disk+killed', 'disk+power']
    await steps.FINAL[play.random.choice(finals)](play)
    await asyncio.sleep(play.random.uniform(0.2, 1))
    ordering.cancel()
    await play.start_all()
    await play.read_back()
    restarts.cancel()


def _disturbances(play: Play, kind: str) -> list[steps.Step]:
    if kind in _UNFORMED:
        return [steps.until_first_ack]
    names = [kind] if kind in steps.BEFORE else []
    if kind == 'mixed':
        names = play.random.sample(_MIXED, 3)
        names = play.random.choice((['replaced', *names], names))
    return [steps.BEFORE[name] for name in names]
