"""Settings, profiles and targets of the measured processes."""

import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientSession
from mustardspur_core.record import Record
from mustardspur_core.state import Target, TargetState

from benchmarks.capacity.processes import daemon

EXAMPLE: Final = Path('examples/lens-bench-standard.json')
# 2,800 servers in 190 services.
SERVERS_PER_SERVICE: Final = 15
FIRST_TARGET_PORT: Final = 20_000
VERSION: Final = '1.4.0'


class MeasuredControl(Record):
    """A control instance that is the only voter."""

    __slots__ = ('process_id', 'stream', 'http', 'folder')
    process_id: int
    stream: str
    http: str
    folder: Path


def free_address() -> str:
    """Return an address of this machine that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return f'127.0.0.1:{port}'


def node_of(number: int) -> str:
    """Return the name of a node."""
    return f'node-{number}'


def service_of(number: int) -> str:
    """Return the service of a node."""
    place = number // SERVERS_PER_SERVICE
    return f'service-{place}'


def target_of(number: int, incarnation: int = 1) -> Target:
    """Return the target beside a node."""
    port = FIRST_TARGET_PORT + number
    return Target(
        id=f'target-{number}',
        service=service_of(number),
        version=VERSION,
        address=f'127.0.0.1:{port}',
        incarnation=incarnation,
        slots=9,
        state=str(TargetState.READY),
        node=node_of(number),
        data_centre='split-a',
        region='dalmacija',
    )


@asynccontextmanager
async def running_control(folder: Path) -> AsyncIterator[MeasuredControl]:
    """Run a control instance of its own for the length of a block."""
    folder.mkdir(parents=True)
    stream, http = free_address(), free_address()
    place = {'data_centre': 'split-a', 'region': 'dalmacija'}
    peer = {'id': 'c1', 'stream': stream, 'http': http, 'voter': True} | place
    document = {
        'role': 'control',
        'id': 'c1',
        'data_dir': str(folder / 'data'),
        'listen': {'stream': stream, 'http': http},
        'peers': [peer],
    } | place
    async with daemon(folder, document) as process_id:
        yield MeasuredControl(
            process_id=process_id,
            stream=stream,
            http=http,
            folder=folder,
        )


class Editor:
    """An operator who edits profiles over HTTP."""

    __slots__ = ('_edits', '_session', '_url')

    def __init__(self, session: ClientSession, control: str) -> None:
        """Edit at one control instance."""
        self._session = session
        self._url = f'http://{control}/v1'
        self._edits = 0

    async def put_profile(self, name: str, expected_number: int) -> None:
        """Put a profile of the size of the example."""
        document = json.loads(EXAMPLE.read_text('utf-8'))
        document['name'] = name
        document['routes'][0]['timeout_ms'] = 500 + expected_number
        await self._put(
            f'profiles/{name}',
            {'expected_number': expected_number, 'profile': document},
        )

    async def follow(self, service: str, profile: str) -> None:
        """Let a service follow a profile."""
        await self._put(f'services/{service}', {'profile': profile})

    async def _put(self, path: str, body: dict[str, Any]) -> None:
        self._edits += 1
        identity = {'edit_id': f'edit-{self._edits}', 'operator': 'bench'}
        async with self._session.put(
            f'{self._url}/{path}',
            json=body | identity,
        ) as response:
            response.raise_for_status()
