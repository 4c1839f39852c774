"""Scenario of the demo: a good move, a bad move and injected faults."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

from demo.mesh import PROFILE, SERVICE, DemoMesh, Server
from demo.operator import Operator
from demo.processes import ProcessGroup, process_group
from demo.traffic import Caller, control_bytes, running_caller
from mustardspur_core.record import Record

FIRST_VERSION: Final = '1.4.0'
GOOD_VERSION: Final = '1.5.0'
BAD_VERSION: Final = '1.6.0'
BAD_FAULT_SHARE: Final = 0.5
MOVE_WITHIN_S: Final = 16.0
SETTLE_S: Final = 2.0
KILL_AFTER_S: Final = 6.0
DRAIN_S: Final = 4.0
TAKEN_BACK_EXIT_CODE: Final = 9
POLL_S: Final = 0.2
START_TIMEOUT_S: Final = 20.0


class DemoRun(Record):
    """Observations of a run, against which the promises are checked.

    Parameters
    ----------
    folder : Path
        Folder of the mesh, with the time lines.
    caller : Caller
        Caller with the counts of its answers.
    good_move, bad_move : dict
        Moves as printed by ``mustardspur move`` after their end.
    drained : str
        Target that was drained during the bad move.
    drain_started_s : float
        Wall clock time of the signal to the drained target.
    killed : list of str
        Names of the killed processes.
    exit_codes : dict of int
        Exit codes by process.
    runs : dict of int
        Runs of non-idempotent calls by request identifier.
    control_bytes : int
        Bytes of control traffic of all nodes.
    servers : list of Server
        Servers of the mesh.
    """

    __slots__ = (
        'folder',
        'caller',
        'good_move',
        'bad_move',
        'drained',
        'drain_started_s',
        'killed',
        'exit_codes',
        'runs',
        'control_bytes',
        'servers',
    )
    folder: Path
    caller: Caller
    good_move: dict[str, Any]
    bad_move: dict[str, Any]
    drained: str
    drain_started_s: float
    killed: list[str]
    exit_codes: dict[str, int]
    runs: dict[str, int]
    control_bytes: int
    servers: list[Server]

    @property
    def servers_killed(self) -> bool:
        """Whether a server with its targets was killed."""
        return any(server.id in self.killed for server in self.servers)


class DemoEnvironment:
    """The mesh with its processes and its operator.

    Parameters
    ----------
    mesh : DemoMesh
        Layout of the mesh.
    group : ProcessGroup
        Receives the started processes.
    """

    __slots__ = ('group', 'mesh', 'operator')

    def __init__(self, mesh: DemoMesh, group: ProcessGroup) -> None:
        """Initialise without running processes."""
        self.mesh = mesh
        self.group = group
        self.operator = Operator(mesh)

    async def start_mesh(self) -> None:
        """Start the control instances, the nodes and the first version."""
        controls = map(self.mesh.write_control, self.mesh.controls)
        nodes = map(self.mesh.write_node, self.mesh.servers)
        await asyncio.gather(
            *map(self.group.start_daemon, controls),
            *map(self.group.start_daemon, nodes),
        )
        await self.start_version(FIRST_VERSION)

    async def start_version(self, version: str, **changes: Any) -> None:
        """Start a target of a version on each server."""
        settings = (
            self.mesh.write_target(server, version, **changes)
            for server in self.mesh.servers
        )
        await asyncio.gather(*map(self.group.start_target, settings))

    async def put_first_profile(self) -> None:
        """Put the first profile and wait until all nodes have it in force."""
        await self._wait_for_leader()
        await self.operator.put_profile(FIRST_VERSION, MOVE_WITHIN_S, '--new')
        await self.operator.run('follow', SERVICE, PROFILE)
        await self.operator.run('wait', SERVICE)

    async def run_move(self, version: str, **changes: Any) -> dict[str, Any]:
        """Start a version, edit the profile and return the ended move."""
        await self.start_version(version, **changes)
        await asyncio.sleep(SETTLE_S)
        await self.operator.put_profile(version, MOVE_WITHIN_S)
        listed = await self.operator.run('moves')
        move_id = listed['moves'][-1]['id']
        await self.operator.run(
            'watch', move_id, codes=(0, TAKEN_BACK_EXIT_CODE)
        )
        move: dict[str, Any] = await self.operator.run('move', move_id)
        return move

    async def stop_version(self, version: str) -> None:
        """Stop all targets of a version gracefully and concurrently."""
        names = [name for name in self.group.by_name if name.endswith(version)]
        await asyncio.gather(*(self.group.stop(name) for name in names))

    async def kill_leader(self) -> list[str]:
        """Kill the leader, restart it and return its name."""
        leader = str(await self._leader())
        await self.group.kill(leader)
        await asyncio.sleep(SETTLE_S)
        await self.group.start_daemon(self._settings_of(leader))
        return [leader]

    async def kill_several(self) -> list[str]:
        """Kill the leader, a follower and a server; restart them.

        Returns
        -------
        list of str
            Names of the killed processes.
        """
        leader = str(await self._leader())
        follower = self.mesh.controls[-1].id
        server = self.mesh.servers[-1]
        targets = [
            name
            for name in self.group.by_name
            if name.startswith(f'{server.id}-target')
        ]
        names = sorted({leader, follower, server.id, *targets})
        await asyncio.gather(*map(self.group.kill, names))
        await asyncio.sleep(SETTLE_S)
        daemons = sorted({leader, follower, server.id})
        await asyncio.gather(
            *map(self.group.start_daemon, map(self._settings_of, daemons)),
            *map(self.group.start_target, map(self._settings_of, targets)),
        )
        return names

    def _settings_of(self, name: str) -> Path:
        return self.mesh.folder / 'settings' / f'{name}.json'

    async def _wait_for_leader(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._has_leader():
                await asyncio.sleep(POLL_S)

    async def _has_leader(self) -> bool:
        return await self._leader() is not None

    async def _leader(self) -> str | None:
        statuses = await self.operator.run('status', codes=(0, 6))
        leaders = (status.get('leader') for status in statuses.values())
        return next(filter(None, leaders), None)


FaultInjection = Callable[[DemoEnvironment], Awaitable[list[str]]]


async def run_demo(mesh: DemoMesh, inject_fault: FaultInjection) -> DemoRun:
    """Run the whole scenario.

    Parameters
    ----------
    mesh : DemoMesh
        Layout with an empty folder.
    inject_fault : callable
        Kills processes during the first move and returns their names.

    Returns
    -------
    DemoRun
        Observations for the checks of the promises.
    """
    async with process_group(mesh.folder / 'logs') as group:
        environment = DemoEnvironment(mesh, group)
        await environment.start_mesh()
        await environment.put_first_profile()
        async with running_caller(mesh) as caller:
            run = await _run_with_faults(environment, caller, inject_fault)
        run.exit_codes = await group.stop_all()
    run.runs = _count_runs(mesh)
    return run


async def _run_with_faults(
    environment: DemoEnvironment, caller: Caller, inject_fault: FaultInjection
) -> DemoRun:
    await asyncio.sleep(SETTLE_S)
    # The group cancels the injection if the scenario fails, so that no killed
    # process is started again after that.
    async with asyncio.TaskGroup() as group:
        injection = group.create_task(_inject_later(environment, inject_fault))
        run = await _run_moves(environment, caller)
    run.killed = injection.result()
    return run


async def _run_moves(environment: DemoEnvironment, caller: Caller) -> DemoRun:
    good_move = await environment.run_move(GOOD_VERSION)
    drained = _target_name(environment.mesh.servers[0], GOOD_VERSION)
    drain_started_s = time.time()
    stopping = asyncio.gather(
        environment.stop_version(FIRST_VERSION),
        environment.group.stop(drained),
    )
    bad_move = await environment.run_move(
        BAD_VERSION,
        fault_share=BAD_FAULT_SHARE,
    )
    await asyncio.sleep(DRAIN_S)
    await stopping
    return DemoRun(
        folder=environment.mesh.folder,
        caller=caller,
        good_move=good_move,
        bad_move=bad_move,
        drained=drained,
        drain_started_s=drain_started_s,
        killed=[],
        exit_codes={},
        runs={},
        control_bytes=await control_bytes(environment.mesh),
        servers=environment.mesh.servers,
    )


async def _inject_later(
    environment: DemoEnvironment, inject_fault: FaultInjection
) -> list[str]:
    # By this time the new version has started and its move is running.
    await asyncio.sleep(KILL_AFTER_S)
    return await inject_fault(environment)


def _target_name(server: Server, version: str) -> str:
    return f'{server.id}-target-{version}'


def _count_runs(mesh: DemoMesh) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for path in (mesh.folder / 'runs').glob('*.txt'):
        counts.update(path.read_text('utf-8').split())
    return dict(counts)
