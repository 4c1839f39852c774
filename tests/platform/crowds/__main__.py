"""Play larger crowds of hostile clients for longer, by hand."""

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import (
    AsyncExitStack,
    ExitStack,
    closing,
    contextmanager,
    suppress,
)
from itertools import cycle, islice
from pathlib import Path
from types import MappingProxyType
from typing import Final

from aiohttp import ClientError, ClientTimeout

from tests.platform.crowds.crowd import (
    CALLERS,
    CONTROL_LISTENERS,
    NODE_LISTENERS,
    Listener,
    connect,
    discard,
    send,
)
from tests.platform.crowds.floods import FLOODS_BY_NAME, Client
from tests.platform.crowds.further_floods import FURTHER_BY_NAME
from tests.platform.crowds.limited_mesh import (
    MAX_DESCRIPTORS,
    Usage,
    limited_mesh,
    ordinary_requests,
    watched,
)
from tests.platform.mesh_processes import HANG_LIMIT_S, HOST, Mesh

_LISTENERS: Final = MappingProxyType(
    {
        'callers': (CALLERS,),
        'node': NODE_LISTENERS,
        'control': CONTROL_LISTENERS,
    },
)
_FLOODS: Final = MappingProxyType({**FLOODS_BY_NAME, **FURTHER_BY_NAME})
_RETURN_S: Final = 0.001
_ORDINARY_PAUSE_S: Final = 0.2
_ORDINARY_TIME: Final = ClientTimeout(total=6)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='python -m tests.platform.crowds', description=__doc__
    )
    add = parser.add_argument
    add('--at', choices=_LISTENERS, default='callers')
    add('--floods', nargs='+', choices=_FLOODS, default=list(_FLOODS))
    add('--together', action='store_true', help='all floods at once')
    add('--clients', type=int, default=200)
    add('--seconds', type=float, default=10, help='clients come back until')
    add('--pause', type=float, default=0, help='seconds between two parts')
    add('--memory', type=int, default=300, help='memory_mb of each process')
    add('--descriptors', type=int, default=MAX_DESCRIPTORS)
    return parser.parse_args()


class _Play:
    """One play of a crowd at the addresses of a process."""

    __slots__ = ('_listeners', '_names', '_options', '_seen')

    def __init__(self, names: list[str], options: argparse.Namespace) -> None:
        self._names = names
        self._options = options
        self._listeners: tuple[Listener, ...] = _LISTENERS[options.at]
        self._seen: Counter[str] = Counter()

    async def run(self) -> str:
        """Return what was seen."""
        host = self._listeners[0].host
        options = self._options
        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            mesh = await stack.enter_async_context(
                limited_mesh(
                    Path(folder),
                    descriptors=options.descriptors,
                    memory_mib=options.memory,
                ),
            )
            usage = await stack.enter_async_context(
                watched(mesh, host, options.memory)
            )
            with self._crowd(mesh):
                with suppress(TimeoutError):
                    await asyncio.wait_for(usage.killed.wait(), options.seconds)
                state = await _state_after(mesh, host, usage)
            return ' | '.join(
                (
                    ' '.join(self._names),
                    f'{usage.peak_mib:.0f} MiB',
                    f'{usage.descriptors} descriptors',
                    state,
                    str(dict(self._seen)),
                ),
            )

    @contextmanager
    def _crowd(self, mesh: Mesh) -> Iterator[None]:
        names = islice(cycle(self._names), self._options.clients)
        clients = zip(names, cycle(self._listeners), strict=False)
        tasks = [
            asyncio.create_task(self._attack(mesh, listener, name, number))
            for number, (name, listener) in enumerate(clients)
        ]
        tasks.append(asyncio.create_task(self._ask(mesh)))
        with ExitStack() as stack:
            for task in tasks:
                stack.callback(task.cancel)
            yield

    async def _attack(
        self, mesh: Mesh, listener: Listener, name: str, number: int
    ) -> None:
        """Come back whenever the process closes the connection."""
        client = Client(listener.method, listener.path, number)
        address = (listener.host, mesh.ports[listener.port])
        while True:
            with suppress(ConnectionError, TimeoutError):
                reader, writer = await connect(address)
                with ExitStack() as stack:
                    stack.enter_context(closing(writer))
                    reading = asyncio.create_task(discard(reader))
                    stack.callback(reading.cancel)
                    parts = _FLOODS[name](client)
                    await send(writer, parts, self._options.pause)
                    await reading
            # The address of a killed process refuses at once.
            await asyncio.sleep(_RETURN_S)

    async def _ask(self, mesh: Mesh) -> None:
        """Count the results of ordinary requests beside the crowd."""
        asked = [each for each in self._listeners if each.port != 'targets']
        listeners = cycle(asked)
        while True:
            listener = next(listeners)
            result = await _result(mesh, listener)
            self._seen[f'{listener.port} {result}'] += 1
            await asyncio.sleep(_ORDINARY_PAUSE_S)


async def _state_after(mesh: Mesh, host: str, usage: Usage) -> str:
    try:
        async with asyncio.timeout(HANG_LIMIT_S):
            await ordinary_requests(mesh, host, usage)
    except TimeoutError:
        return 'not answered'
    return 'KILLED' if usage.is_killed else 'answered'


async def _result(mesh: Mesh, listener: Listener) -> str:
    path = '/api/config' if listener.method == 'PUT' else listener.path
    try:
        async with mesh.session.get(
            mesh.url(listener.host, listener.port, path),
            headers={'Host': HOST, 'Request-Id': 'o', 'Deadline-Ms': '2000'},
            timeout=_ORDINARY_TIME,
        ) as answer:
            await answer.read()
            return str(answer.status)
    except (ClientError, TimeoutError) as error:
        return type(error).__name__


async def _main(options: argparse.Namespace) -> None:
    plays = [[name] for name in options.floods]
    if options.together:
        plays = [options.floods]
    while plays:
        seen = await _Play(plays.pop(0), options).run()
        sys.stdout.write(f'{seen}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(_main(_arguments()))
