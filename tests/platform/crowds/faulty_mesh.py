"""A mesh with a faulty target, and callers at two of its nodes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from itertools import count
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError

from tests.platform.crowds.answers import Answer
from tests.platform.crowds.faulty_target import FaultyTarget, faulty_target
from tests.platform.crowds.limited_mesh import (
    CONTROL,
    MAX_DESCRIPTORS,
    MEMORY_MIB,
    NODE,
    SLOTS,
    Usage,
    limited_configuration,
    limited_settings,
    put_configuration,
    use_new_connections,
)
from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    HOST,
    Mesh,
    running_mesh,
    running_target,
)

# In another data centre, with the target of a sound service.
FAR_NODE: Final = '127.0.7.22'
NODES: Final = (NODE, FAR_NODE)
FAULTY_PATH: Final = '/drafts/1'
SOUND_PATH: Final = '/stamps/1'
_DATA_CENTRES: Final = ('split-a', 'zadar-a')
_SERVICES: Final = ('forms', 'stamps')
_REPORT_S: Final = 0.5
# Of callers, which distinguish their paths.
_NUMBERS: Final = count()
_PLAY_LIMIT_S: Final = 2 * HANG_LIMIT_S
_HEADERS: Final = (('Host', HOST), ('Request-Id', 'ordinary'))
_REFUSED: Final = 503


@asynccontextmanager
async def faulty_mesh(
    folder: Path,
    memory_mib: int = MEMORY_MIB,
    health_answer: Answer | None = None,
) -> AsyncIterator[tuple[Mesh, FaultyTarget]]:
    """Run a control instance and two nodes, one beside a faulty target.

    The target answers calls soundly at first.
    """
    async with running_mesh(folder) as mesh, AsyncExitStack() as stack:
        await use_new_connections(mesh, stack)
        target = stack.enter_context(faulty_target(NODE, mesh.ports['target']))
        target.health_answer = health_answer
        await stack.enter_async_context(running_target(mesh, FAR_NODE))
        await _start(mesh, memory_mib)
        for each in zip(NODES, _SERVICES, strict=True):
            stack.callback(asyncio.create_task(_report(mesh, *each)).cancel)
        yield mesh, target


async def _start(mesh: Mesh, memory_mib: int) -> None:
    mesh.launcher.supervisor = ('prlimit', f'--nofile={MAX_DESCRIPTORS}')
    settings = limited_settings(mesh, memory_mib)
    await mesh.start_control(CONTROL, first_start=True, **settings)
    nodes = zip(NODES, _DATA_CENTRES, _SERVICES, strict=True)
    await asyncio.gather(
        *(mesh.start_node(*each, **settings) for each in nodes)
    )
    await put_configuration(mesh, _configuration())


def _configuration() -> dict[str, Any]:
    document = limited_configuration(1)
    routes, services = document['routes'], document['services']
    services['stamps'] = services['forms']
    sound = {'path_prefix': '/stamps/', 'service': 'stamps'}
    routes['stamps'] = routes['drafts'] | sound
    return document


async def _report(mesh: Mesh, host: str, service: str) -> None:
    """Report a target again and again, as targets do."""
    sequence = 0
    while True:
        sequence += 1
        await mesh.report(host, service=service, slots=SLOTS, sequence=sequence)
        await asyncio.sleep(_REPORT_S)


async def until_answered(mesh: Mesh, host: str, path: str) -> bytes:
    """Make calls at a node until one has status 200."""
    return await mesh.until(
        'GET',
        mesh.url(host, 'http', path),
        headers=[*_HEADERS, ('Deadline-Ms', '6000')],
    )


async def unless_killed(
    work: Awaitable[Any],
    usages: tuple[Usage, ...],
    limit_s: float | None = _PLAY_LIMIT_S,
) -> None:
    """Wait for work to end, or for a process to be killed."""
    working = asyncio.ensure_future(work)
    kills = [asyncio.create_task(usage.killed.wait()) for usage in usages]
    await asyncio.wait(
        (working, *kills),
        timeout=limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for each in kills:
        each.cancel()
    if any(usage.is_killed for usage in usages):
        working.cancel()
        with suppress(asyncio.CancelledError):
            await working
    else:
        async with asyncio.timeout(0):
            await working


class Caller:
    """A caller at a node, by default of the faulty service.

    Attributes
    ----------
    refused_paths : list of str
        Paths of the calls that ended with 503, which states that they have
        not run.
    results : Counter
        Statuses of its calls, and names of errors where a call had no
        complete answer.
    """

    __slots__ = (
        '_deadline_ms',
        '_name',
        '_mesh',
        '_node',
        '_path',
        'refused_paths',
        'results',
    )

    def __init__(
        self, mesh: Mesh, node: str, deadline_ms: int, path: str = FAULTY_PATH
    ) -> None:
        """Initialise without calls."""
        self._mesh = mesh
        self._name = f'{node}-{next(_NUMBERS)}'
        self._node = node
        self._deadline_ms = deadline_ms
        self._path = path
        self.refused_paths: list[str] = []
        self.results: Counter[int | str] = Counter()

    async def call(self) -> None:
        """Make a call, and count its result."""
        # Of its own path, so that it is not blocked as a call that crashes
        # targets.
        number = self.results.total()
        path = f'{self._path}/{self._name}-{number}'
        headers = [*_HEADERS, ('Deadline-Ms', str(self._deadline_ms))]
        try:
            async with self._mesh.session.get(
                self._mesh.url(self._node, 'http', path), headers=headers
            ) as answer:
                await answer.read()
                self.results[answer.status] += 1
                if answer.status == _REFUSED:
                    self.refused_paths.append(path)
        except ClientError as error:
            self.results[type(error).__name__] += 1


def longest_line(log: Path) -> int:
    """Return the length of the longest line of a log."""
    with log.open('rb') as lines:
        return max(map(len, lines), default=0)
