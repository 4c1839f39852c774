"""A node outside of a mesh that may use little memory, as a real process."""

import asyncio
import io
import json
from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession, TCPConnector
from mustardspur_client.main import run
from mustardspur_node.paths import ANNOUNCEMENTS_PATH, READY_PATH

from tests.daemon.processes import (
    BINARY,
    HANG_LIMIT_S,
    POLL_S,
    answer_of,
    control_document,
    node_document,
    running_daemon,
)
from tests.platform.crowds.limited_mesh import MAX_DESCRIPTORS, Usage

# All bounds of the tests on memory are this one.
MEMORY_MIB: Final = 128
SOUND_PATH: Final = '/sound/1'
FAULTY_PATH: Final = '/faulty/1'
SOUND_VERSION: Final = 'v-sound'
FAULTY_VERSION: Final = 'v-faulty'
_STATUS_PATH: Final = '/v1/status'
_SLOTS: Final = 60
_SOUND_TIMEOUT_MS: Final = 60_000
_LEASE_S: Final = 600
_WATCH_S: Final = 0.01


class LimitedNode:
    """A node with a sound and a faulty target of one service.

    Parameters
    ----------
    address : str
        ``ip:port`` where it serves callers.
    log : Path
        File of its log.
    usage : Usage
        What its process has used.
    session : aiohttp.ClientSession
        Session of ordinary callers, with a connection for each call.
    """

    __slots__ = ('address', 'log', 'session', 'usage')

    def __init__(
        self, address: str, log: Path, usage: Usage, session: ClientSession
    ) -> None:
        """Initialise with a running process."""
        self.address = address
        self.log = log
        self.usage = usage
        self.session = session

    def url(self, path: str) -> str:
        """Return the URL of a path."""
        return f'http://{self.address}{path}'

    async def announce(self, document: dict[str, Any]) -> None:
        """Announce a target."""
        url = self.url(ANNOUNCEMENTS_PATH)
        async with self.session.post(url, json=document) as answer:
            assert answer.status == HTTPStatus.OK, await answer.text()

    async def ask_sound(self) -> bytes:
        """Return the answer of the sound target to an ordinary call.

        Returns nothing if the process is killed.
        """
        asking = asyncio.create_task(self._ask())
        killed = asyncio.create_task(self.usage.killed.wait())
        await asyncio.wait((asking, killed), return_when='FIRST_COMPLETED')
        killed.cancel()
        if not self.usage.is_killed:
            return await asking
        asking.cancel()
        return b''

    async def _ask(self) -> bytes:
        async with asyncio.timeout(HANG_LIMIT_S):
            while True:
                body = await self._try()
                if body:
                    return body
                await asyncio.sleep(POLL_S)

    async def _try(self) -> bytes:
        with suppress(ClientError, OSError):
            async with self.session.get(self.url(SOUND_PATH)) as answer:
                if answer.status == HTTPStatus.OK:
                    return await answer.read()
        return b''


@asynccontextmanager
async def limited_node(
    folder: Path,
    targets: dict[str, str],
    faulty_timeout_ms: int = 500,
    descriptors: int = MAX_DESCRIPTORS,
) -> AsyncIterator[LimitedNode]:
    """Run a control instance and a node that is killed beyond its memory.

    Parameters
    ----------
    folder : Path
        Folder of the files of the processes.
    targets : dict of str
        Addresses of the targets by version.
    faulty_timeout_ms : int, optional
        Longest time of a call of the faulty target.
    descriptors : int, optional
        Descriptors that the node may open.
    """
    control = control_document(folder)
    http = control['listen']['http']
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        await enter(running_daemon(folder, control, folder / 'c1.log'))
        # Ordinary clients have no connection from before.
        connector = TCPConnector(force_close=True)
        session = await enter(ClientSession(connector=connector))
        await answer_of(f'http://{http}{_STATUS_PATH}')
        await _put_profile(folder, http, faulty_timeout_ms)
        stream = control['listen']['stream']
        supervisor = ('prlimit', f'--nofile={descriptors}')
        node = await enter(_running_node(folder, stream, session, supervisor))
        await asyncio.gather(*map(node.announce, _announcements(targets)))
        await node.ask_sound()
        yield node


@asynccontextmanager
async def _running_node(
    folder: Path,
    control: str,
    session: ClientSession,
    supervisor: tuple[str, ...],
) -> AsyncIterator[LimitedNode]:
    document = node_document(folder, control)
    document['intervals'] = {'lease_s': _LEASE_S}
    address = document['listen']['http']
    log = folder / 'n1.log'
    async with (
        running_daemon(
            folder, document, log, (*supervisor, str(BINARY))
        ) as process,
        _watched(process) as usage,
    ):
        node = LimitedNode(address, log, usage, session)
        await answer_of(node.url(READY_PATH))
        yield node


async def _put_profile(folder: Path, http: str, faulty_ms: int) -> None:
    path = folder / 'profile.json'
    path.write_text(json.dumps(_profile(faulty_ms)), encoding='utf-8')
    await _edit('put', str(path), '--new', '--control', http)
    await _edit('follow', 'forms', 'forms', '--control', http)


async def _edit(*command: str) -> None:
    output = io.StringIO()
    code = await run(command, output, output)
    assert code.value == 0, output.getvalue()


def _announcements(targets: dict[str, str]) -> Iterable[dict[str, Any]]:
    for version, address in targets.items():
        yield {
            'id': version,
            'service': 'forms',
            'version': version,
            'address': address,
            'incarnation': 1,
            'slots': _SLOTS,
            'state': 'ready',
        }


def _profile(faulty_timeout_ms: int) -> dict[str, Any]:
    return {
        'name': 'forms',
        'target_sets': {
            'sound': {'version': SOUND_VERSION},
            'faulty': {'version': FAULTY_VERSION},
        },
        'call_classes': {
            'sound': _call_class(0),
            'faulty': _call_class(1),
        },
        'retries': {
            'once': {'attempts': 1, 'budget_ratio': 0, 'hedge_after_ms': 0}
        },
        'routes': [
            _route('sound', _SOUND_TIMEOUT_MS),
            _route('faulty', faulty_timeout_ms),
        ],
        'move': {
            'within_s': 600,
            'first_share': 0.02,
            'unjudged': 'take_back',
            'weighing': 'control_bytes',
        },
    }


def _call_class(priority: int) -> dict[str, int]:
    return {
        'priority': priority,
        'max_in_flight_per_target': _SLOTS,
        'queue_limit': _SLOTS,
    }


def _route(name: str, timeout_ms: int) -> dict[str, Any]:
    return {
        'name': name,
        'path_prefix': f'/{name}',
        'methods': ['GET', 'POST', 'PUT'],
        'headers': {},
        'weights': {name: 100},
        'call_class': name,
        'retry': 'once',
        'idempotent': False,
        'timeout_ms': timeout_ms,
    }


@asynccontextmanager
async def _watched(process: asyncio.subprocess.Process) -> AsyncIterator[Usage]:
    """Kill a process that exceeds its memory."""
    usage = Usage()
    watch = asyncio.create_task(_watch(process, usage))
    try:
        yield usage
    finally:
        watch.cancel()
        with suppress(asyncio.CancelledError):
            await watch


async def _watch(process: asyncio.subprocess.Process, usage: Usage) -> None:
    while True:
        usage.read(process.pid)
        if usage.peak_mib >= MEMORY_MIB:
            process.kill()
            usage.killed.set()
            return
        await asyncio.sleep(_WATCH_S)
