"""Settings, profiles and targets for the measured processes."""

import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientSession
from mustardspur_core.record import Record
from mustardspur_core.state import Target, TargetState

from benchmarks.capacity.processes import running_daemon

EXAMPLE_PROFILE: Final = Path('examples/lens-bench-standard.json')
# Design size: 2,800 servers in 190 services.
SERVERS_PER_SERVICE: Final = 15
FIRST_TARGET_PORT: Final = 20_000
VERSION: Final = '1.4.0'


class MeasuredControl(Record):
    """A control instance that is the only voter of its mesh."""

    __slots__ = ('process_id', 'stream', 'http', 'folder')
    process_id: int
    stream: str
    http: str
    folder: Path


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return f'127.0.0.1:{port}'


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f'node-{number}'


def service_name(number: int) -> str:
    """Return the service of a node."""
    service_number = number // SERVERS_PER_SERVICE
    return f'service-{service_number}'


def make_target(number: int, incarnation: int = 1) -> Target:
    """Return the target of a node."""
    port = FIRST_TARGET_PORT + number
    return Target(
        id=f'target-{number}',
        service=service_name(number),
        version=VERSION,
        address=f'127.0.0.1:{port}',
        incarnation=incarnation,
        slots=9,
        state=str(TargetState.READY),
        node=node_name(number),
        data_centre='split-a',
        region='dalmacija',
    )


@asynccontextmanager
async def running_control(folder: Path) -> AsyncIterator[MeasuredControl]:
    """Run a control instance until the end of the block."""
    folder.mkdir(parents=True)
    stream, http = free_address(), free_address()
    location = {'data_centre': 'split-a', 'region': 'dalmacija'}
    peer = {
        'id': 'c1',
        'stream': stream,
        'http': http,
        'voter': True,
    } | location
    document = {
        'role': 'control',
        'id': 'c1',
        'data_dir': str(folder / 'data'),
        'listen': {'stream': stream, 'http': http},
        'peers': [peer],
    } | location
    async with running_daemon(folder, document) as process_id:
        yield MeasuredControl(
            process_id=process_id,
            stream=stream,
            http=http,
            folder=folder,
        )


class Editor:
    """Client that edits profiles over HTTP.

    Parameters
    ----------
    session : ClientSession
        Session for the edits.
    control : str
        HTTP address of the control instance.
    """

    __slots__ = ('_edits', '_session', '_url')

    def __init__(self, session: ClientSession, control: str) -> None:
        """Initialise without edits."""
        self._session = session
        self._url = f'http://{control}/v1'
        self._edits = 0

    async def put_profile(self, name: str, expected_number: int) -> None:
        """Put the example profile under a name.

        Raises
        ------
        ClientResponseError
            If the edit is not accepted.
        """
        document = json.loads(EXAMPLE_PROFILE.read_text('utf-8'))
        document['name'] = name
        document['routes'][0]['timeout_ms'] = 500 + expected_number
        await self._put(
            f'profiles/{name}',
            {'expected_number': expected_number, 'profile': document},
        )

    async def follow(self, service: str, profile: str) -> None:
        """Make a service follow a profile."""
        await self._put(f'services/{service}', {'profile': profile})

    async def _put(self, path: str, body: dict[str, Any]) -> None:
        self._edits += 1
        identity = {'edit_id': f'edit-{self._edits}', 'operator': 'bench'}
        async with self._session.put(
            f'{self._url}/{path}',
            json=body | identity,
        ) as response:
            response.raise_for_status()
