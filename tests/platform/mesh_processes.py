"""Starting the processes of a mesh on loopback addresses for tests."""

import asyncio
import json
import os
import shutil
import signal
import sys
import tomllib
from collections.abc import AsyncIterator, Iterator
from contextlib import (
    ExitStack,
    asynccontextmanager,
    contextmanager,
)
from functools import partial
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientResponse, ClientSession, web

from tests.support.built_program import built_program
from tests.support.ports import reserve_port

REPOSITORY: Final = Path(__file__).parents[2]
# Upper bound for a hanging test; no result depends on the time of a step.
HANG_LIMIT_S: Final = 60.0
POLL_S: Final = 0.05
_SIGNAL_POLL_S: Final = 0.001
HOST: Final = 'forms.example'
# Lines of the log of a process that are shown if it ended by itself.
_SHOWN_LINES: Final = 5
_PORTS: Final = ('stream', 'http', 'ready', 'targets', 'target', 'metrics')
_NODE_PORTS: Final = ('stream', 'http', 'ready', 'targets', 'metrics')
_HEALTH_PATH: Final = '/healthz'
_DEPLOYMENT: Final = Path('deploy', 'system.toml')
# The last step of the build.
_BUILD: Final = 'python3 -m mustardspur_daemon.interpreter'


def deployed_command(role: str, commit: Path = REPOSITORY) -> list[str]:
    """Return the deployed command of a role, with the Python of the tests.

    Raises
    ------
    AssertionError
        If the build of the deployment does not make its program.
    """
    deployment = tomllib.loads((commit / _DEPLOYMENT).read_text('utf-8'))
    command: str = deployment['roles'][role]['run']
    program, *arguments = command.split()
    if commit != REPOSITORY and program == 'python3':
        # Commits before the program was built.
        return [sys.executable, *arguments]
    assert deployment['build'].endswith(f'{_BUILD} {program}')
    return [str(built_program()), *arguments]


class Launcher:
    """Where a process stores its files, and how it is started.

    Parameters
    ----------
    folder : Path
        Folder of the settings, data and logs.

    Attributes
    ----------
    supervisor : tuple of str
        Words in front of the deployed command, empty as it is deployed.
    python_path : tuple of str
        Folders that Python searches for modules.
    commit : Path
        Root of the repository, where processes are started.
    """

    def __init__(self, folder: Path) -> None:
        """Initialise with the folder of a mesh."""
        self.folder = folder
        self.supervisor: tuple[str, ...] = ()
        self.python_path: tuple[str, ...] = (str(REPOSITORY / 'platform'),)
        self.commit = REPOSITORY

    def data_dir(self, host: str) -> Path:
        """Return the data folder of a control instance."""
        return self.folder / host

    def command(self, host: str, role: str) -> list[str]:
        """Return the command that starts a process."""
        return [*self.supervisor, *deployed_command(role)]

    def variables(self, host: str) -> dict[str, str]:
        """Return the environment variables of a process."""
        return {'PYTHONPATH': os.pathsep.join(self.python_path)}


class Mesh:
    """Processes of control instances and nodes, each on its own address.

    Parameters
    ----------
    folder : Path
        Folder of the settings, data and logs.
    session : aiohttp.ClientSession
        Session for requests to the processes.
    ports : list of int
        Ports that the processes listen on, see `reserved_ports`.
    launcher : Launcher, optional
        Starts the processes.
    """

    def __init__(
        self,
        folder: Path,
        session: ClientSession,
        ports: list[int],
        launcher: Launcher | None = None,
    ) -> None:
        """Initialise a mesh without processes."""
        self.folder = folder
        self.launcher = launcher or Launcher(folder)
        self.session = session
        self.ports = dict(zip(_PORTS, ports, strict=True))
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._data_centres_by_node: dict[str, str] = {}
        # Length of the log in bytes at the last start of the process.
        self._log_start_bytes: dict[str, int] = {}

    def url(self, host: str, port: str, path: str) -> str:
        """Return the URL of a path at a process."""
        return f'http://{host}:{self.ports[port]}{path}'

    async def start_control(
        self,
        host: str,
        *,
        first_start: bool,
        **mesh: Any,
    ) -> None:
        """Start a control instance, with settings of the part ``mesh``."""
        await self._start(
            host,
            {
                'role': 'control',
                'data_dir': str(self.launcher.data_dir(host)),
                'peers': [],
                'listen': self._listen(host, 'stream', 'http', 'metrics'),
                'mesh': {**self._seeds(), 'first_start': first_start, **mesh},
            },
        )

    async def start_node(
        self,
        host: str,
        data_centre: str = 'split-a',
        service: str = 'forms',
        **mesh: Any,
    ) -> None:
        """Start a node, with further settings of the part ``mesh``."""
        target = f'{host}:{self.ports["target"]}'
        self._data_centres_by_node[host] = data_centre
        await self._start(
            host,
            {
                'role': 'node',
                'data_centre': data_centre,
                'service': service,
                'listen': self._listen(host, *_NODE_PORTS),
                'mesh': {**self._seeds(), 'target_address': target, **mesh},
            },
        )

    async def kill(self, host: str) -> None:
        """Kill a process."""
        process = self.processes.pop(host)
        if process.returncode is not None:
            shown = last_lines(self.folder / f'{host}.log')
            raise EndedProcess(host, process.returncode, shown)
        process.send_signal(signal.SIGKILL)
        await process.wait()

    async def stop(self, host: str) -> int:
        """Send a process SIGTERM and return its exit code."""
        process = self.processes.pop(host)
        process.terminate()
        return await process.wait()

    def wipe(self, host: str) -> None:
        """Remove the data of a stopped control instance."""
        shutil.rmtree(self.launcher.data_dir(host))

    async def until(self, method: str, url: str, **options: Any) -> bytes:
        """Repeat a request until the status is 200; return the body."""
        async with asyncio.timeout(HANG_LIMIT_S):
            while True:
                body = await _try(self.session, method, url, options)
                if body is not None:
                    return body
                await asyncio.sleep(POLL_S)

    async def until_logged(self, host: str, event: str) -> None:
        """Wait until a process logs an event after its last start."""
        path = self.folder / f'{host}.log'
        async with asyncio.timeout(HANG_LIMIT_S):
            while (
                event.encode()
                not in path.read_bytes()[self._log_start_bytes[host] :]
            ):
                await asyncio.sleep(POLL_S)

    async def report(self, host: str, **fields: Any) -> None:
        """Send a heartbeat of the local target to a node."""
        await self.until(
            'PUT',
            self.url(host, 'targets', f'/api/instances/i-{host}'),
            json=report_of(
                host,
                self.ports['target'],
                zone=self._data_centres_by_node[host],
                **fields,
            ),
        )

    def call(self, host: str) -> Any:
        """Make a call at a node."""
        return self.session.get(
            self.url(host, 'http', '/drafts/1'),
            headers={'Host': HOST, 'Request-Id': 'r1', 'Deadline-Ms': '2000'},
        )

    async def _start(self, host: str, document: dict[str, Any]) -> None:
        path = self.folder / f'{host}.json'
        document = {
            'id': host,
            'data_centre': 'split-a',
            'region': 'dalmacija',
            **document,
        }
        path.write_text(json.dumps(document), encoding='utf-8')
        environment = {
            **os.environ,
            'MUSTARDSPUR_BOOT': str(path),
            **self.launcher.variables(host),
        }
        with (self.folder / f'{host}.log').open('ab') as output:
            self._log_start_bytes[host] = output.tell()
            self.processes[host] = await asyncio.create_subprocess_exec(
                *self.launcher.command(host, document['role']),
                cwd=self.launcher.commit,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def _listen(self, host: str, *names: str) -> dict[str, str]:
        return {name: f'{host}:{self.ports[name]}' for name in names}

    def _seeds(self) -> dict[str, Any]:
        port = self.ports['http']
        return {'seeds': [f'127.0.7.{number}:{port}' for number in (1, 2, 3)]}


@asynccontextmanager
async def running_mesh(folder: Path) -> AsyncIterator[Mesh]:
    """Yield a mesh without processes; kill its processes at the end."""
    with reserved_ports() as ports:
        async with ClientSession() as session:
            mesh = Mesh(folder, session, ports)
            try:
                yield mesh
            finally:
                await asyncio.gather(*map(mesh.kill, list(mesh.processes)))


@asynccontextmanager
async def running_target(
    mesh: Mesh,
    host: str,
    run_s: float = 0,
) -> AsyncIterator[list[str]]:
    """Run the local target of a node; yield the paths of its calls.

    Each call runs for `run_s` seconds.
    """
    paths: list[str] = []
    handler = partial(_serve_target, host, paths, run_s)
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    try:
        await web.TCPSite(runner, host, mesh.ports['target']).start()
        yield paths
    finally:
        await runner.cleanup()


async def until_sighup_harmless(pid: int) -> None:
    """Wait until a process ignores or handles SIGHUP, at once if it does.

    Before the first line of its program runs, the signal ends a process.
    """
    path = Path('/proc', str(pid), 'status')
    bit = 1 << (signal.SIGHUP - 1)
    async with asyncio.timeout(HANG_LIMIT_S):
        while not any(
            int(line.split()[1], base=16) & bit
            for line in path.read_text('utf-8').splitlines()
            if line.startswith(('SigIgn:', 'SigCgt:'))
        ):
            await asyncio.sleep(_SIGNAL_POLL_S)


async def _try(
    session: ClientSession,
    method: str,
    url: str,
    options: dict[str, Any],
) -> bytes | None:
    try:
        async with session.request(method, url, **options) as answer:
            return await answer.read() if answer.status == 200 else None
    except (ClientError, TimeoutError):
        # The process is not listening.
        return None


async def _serve_target(
    host: str,
    paths: list[str],
    run_s: float,
    request: web.BaseRequest,
) -> web.Response:
    if request.path == _HEALTH_PATH:
        return web.Response()
    paths.append(request.path)
    await asyncio.sleep(run_s)
    headers = {
        'Request-Id': request.headers['Request-Id'],
        'Response-Signature': f'signed by {host}',
    }
    return web.Response(text=f'answer of {host}', headers=headers)


def configuration(number: int) -> dict[str, Any]:
    """Return a configuration with one route."""
    return {
        'version': f'r{number}',
        'routes': {
            'drafts': {
                'host': HOST,
                'path_prefix': '/drafts/',
                'kind': 'idempotent',
                'timeout': '2000ms',
                'target_latency': '400ms',
                'priority': 1,
                'service': 'forms',
                'max_attempts': 2,
            },
        },
        'services': {
            'forms': {'health_path': _HEALTH_PATH, 'max_connections': 50},
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
    }


def report_of(host: str, port: int, **fields: Any) -> dict[str, Any]:
    """Return a report of the target beside a node, with given fields."""
    return {
        'service': 'forms',
        'address': f'{host}:{port}',
        'zone': 'split-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining': '0ms',
        'sequence': 1,
        'born': 1000,
        **fields,
    }


async def body_of(response: ClientResponse) -> tuple[int, str, str]:
    """Return status, body and signature of a response."""
    signature = response.headers.get('Response-Signature', '')
    return response.status, await response.text(), signature


def last_lines(path: Path) -> str:
    """Return the last lines of the log of a process."""
    return '\n'.join(path.read_text().splitlines()[-_SHOWN_LINES:])


class EndedProcess(Exception):
    """A process that ended without having been stopped."""


@contextmanager
def reserved_ports() -> Iterator[list[int]]:
    """Yield ports that no other process takes for the duration of a block.

    They stay reserved while the processes of a mesh restart.
    """
    with ExitStack() as stack:
        yield [reserve_port(stack) for _ in _PORTS]
