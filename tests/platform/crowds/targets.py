"""Play calls of a target that sends bytes without end, by hand."""

import argparse
import asyncio
import json
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack, ExitStack, suppress
from itertools import cycle, islice
from pathlib import Path
from types import MappingProxyType
from typing import Final

from mustardspur_core.units import BYTES_PER_KIB

from tests.platform.crowds.answers import ANSWERS_BY_NAME
from tests.platform.crowds.faulty_mesh import (
    FAULTY_PATH,
    NODES,
    SOUND_PATH,
    Caller,
    faulty_mesh,
    longest_line,
    unless_killed,
    until_answered,
)
from tests.platform.crowds.faulty_target import FaultyTarget
from tests.platform.crowds.further_answers import FURTHER_BY_NAME
from tests.platform.crowds.limited_mesh import Usage, watched
from tests.platform.mesh_processes import Mesh

_ANSWERS: Final = MappingProxyType({**ANSWERS_BY_NAME, **FURTHER_BY_NAME})
_SOUND_PAUSE_S: Final = 0.1


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m tests.platform.crowds.targets', description=__doc__
    )
    add = parser.add_argument
    add('--answers', nargs='+', choices=_ANSWERS, default=list(_ANSWERS))
    add('--health-checks', action='store_true', help='get them as well')
    add('--callers', type=int, default=30, help='in turn at the two nodes')
    add('--calls', type=int, default=sys.maxsize, help='of each caller')
    add('--deadline', type=int, default=2000, help='ms of each call')
    add('--seconds', type=float, default=4)
    add('--memory', type=int, default=300, help='memory_mb of each process')
    return parser.parse_args()


class _Play:
    """One play of a faulty target and its callers.

    Attributes
    ----------
    callers : list of Caller
        The callers of the service.
    sound : Caller
        A caller of a sound service at the node beside the target.
    """

    __slots__ = ('_mesh', '_options', '_target', '_usages', 'callers', 'sound')

    def __init__(
        self,
        mesh: Mesh,
        target: FaultyTarget,
        usages: tuple[Usage, ...],
        options: argparse.Namespace,
    ) -> None:
        self._mesh = mesh
        self._options = options
        self._target = target
        self._usages = usages
        deadline_ms = options.deadline
        nodes = islice(cycle(NODES), options.callers)
        self.callers = [Caller(mesh, node, deadline_ms) for node in nodes]
        self.sound = Caller(mesh, NODES[0], deadline_ms, SOUND_PATH)

    async def run(self, name: str) -> float:
        """Return the seconds until the recovered target serves again."""
        await unless_killed(self._until_served(), self._usages)
        self._target.answer = _ANSWERS[name]
        await unless_killed(self._call_in_time(), self._usages, None)
        started_s = asyncio.get_running_loop().time()
        self._target.answer = None
        self._target.health_answer = None
        await unless_killed(self._until_served(), self._usages)
        return asyncio.get_running_loop().time() - started_s

    def count_wrong_refusals(self) -> int:
        """Return how many calls ended with 503 and reached the target."""
        paths = self._target.paths
        return sum(
            path in paths
            for caller in self.callers
            for path in caller.refused_paths
        )

    async def _call_in_time(self) -> None:
        sound = asyncio.create_task(self._call_sound())
        with ExitStack() as stack:
            stack.callback(sound.cancel)
            with suppress(TimeoutError):
                async with asyncio.timeout(self._options.seconds):
                    await asyncio.gather(*map(self._call, self.callers))

    async def _call(self, caller: Caller) -> None:
        while caller.results.total() < self._options.calls:
            await caller.call()

    async def _call_sound(self) -> None:
        while True:
            await self.sound.call()
            await asyncio.sleep(_SOUND_PAUSE_S)

    async def _until_served(self) -> None:
        await asyncio.gather(
            until_answered(self._mesh, NODES[0], SOUND_PATH),
            *(until_answered(self._mesh, node, FAULTY_PATH) for node in NODES),
        )


def _resident_mib(mesh: Mesh, node: str) -> int:
    """Return the resident memory of a node, 0 if it was killed."""
    process = mesh.processes.get(node)
    if process is None:
        return 0
    status = Path('/proc', str(process.pid), 'status').read_text('utf-8')
    return int(status.partition('VmRSS:')[2].split()[0]) // BYTES_PER_KIB


def _of_nodes(mesh: Mesh, usages: tuple[Usage, ...]) -> dict[str, object]:
    """Return what was seen of the nodes, the one beside the target first."""
    logs = [mesh.folder / f'{node}.log' for node in NODES]
    return {
        'killed': [usage.is_killed for usage in usages],
        'peak MiB': [int(usage.peak_mib) for usage in usages],
        'MiB afterwards': [_resident_mib(mesh, node) for node in NODES],
        'bytes of log': [log.stat().st_size for log in logs],
        'longest line': max(map(longest_line, logs)),
    }


async def _play(name: str, options: argparse.Namespace) -> dict[str, object]:
    """Return what was seen."""
    health_answer = _ANSWERS[name] if options.health_checks else None
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        mesh, target = await stack.enter_async_context(
            faulty_mesh(folder, options.memory, health_answer)
        )
        watches = (watched(mesh, each, options.memory) for each in NODES)
        usages = (
            await stack.enter_async_context(next(watches)),
            await stack.enter_async_context(next(watches)),
        )
        play = _Play(mesh, target, usages, options)
        return {
            'answer': name,
            # Entries are made in this order, so that the others see the end.
            'recovery s': round(await play.run(name), 1),
            'calls': sum((each.results for each in play.callers), Counter()),
            'refused but received': play.count_wrong_refusals(),
            'sound calls': play.sound.results,
            **_of_nodes(mesh, usages),
        }


async def _main(options: argparse.Namespace) -> None:
    names = list(options.answers)
    while names:
        seen = await _play(names.pop(0), options)
        sys.stdout.write(f'{json.dumps(seen)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(_main(_arguments()))
