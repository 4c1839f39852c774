"""What happens in the demo, step by step."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

from demo.mesh import PROFILE, SERVICE, Mesh, Server
from demo.operator import Operator
from demo.processes import ProcessGroup, process_group
from demo.traffic import Caller, calling, control_bytes
from mustardspur_core.record import Record

FIRST_VERSION: Final = '1.4.0'
GOOD_VERSION: Final = '1.5.0'
BAD_VERSION: Final = '1.6.0'
BAD_FAULT_SHARE: Final = 0.5
MOVE_WITHIN_S: Final = 16.0
SETTLE_S: Final = 2.0
KILL_AFTER_S: Final = 6.0
DRAIN_S: Final = 4.0
TAKEN_BACK: Final = 9
POLL_S: Final = 0.2
START_TIMEOUT_S: Final = 20.0


class DemoRun(Record):
    """Everything that the promises are checked against."""

    __slots__ = (
        'folder',
        'caller',
        'good_move',
        'bad_move',
        'drained',
        'drain_told_s',
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
    drain_told_s: float
    killed: list[str]
    exit_codes: dict[str, int]
    runs: dict[str, int]
    control_bytes: int
    servers: list[Server]

    @property
    def servers_killed(self) -> bool:
        """Whether a server with its targets was killed."""
        return any(server.id in self.killed for server in self.servers)


class Stage:
    """The mesh with its processes, operator and callers."""

    __slots__ = ('group', 'mesh', 'operator')

    def __init__(self, mesh: Mesh, group: ProcessGroup) -> None:
        """Put the parts together."""
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
        """Start a target of a version beside those that run."""
        settings = (
            self.mesh.write_target(server, version, **changes)
            for server in self.mesh.servers
        )
        await asyncio.gather(*map(self.group.start_target, settings))

    async def first_profile(self) -> None:
        """Put the first profile and wait until it is in force."""
        await self._until_leader()
        await self.operator.put_profile(FIRST_VERSION, MOVE_WITHIN_S, '--new')
        await self.operator.run('follow', SERVICE, PROFILE)
        await self.operator.run('wait', SERVICE)

    async def play_move(self, version: str, **changes: Any) -> dict[str, Any]:
        """Start a version, edit the profile, watch the move to its end."""
        await self.start_version(version, **changes)
        await asyncio.sleep(SETTLE_S)
        await self.operator.put_profile(version, MOVE_WITHIN_S)
        listed = await self.operator.run('moves')
        move_id = listed['moves'][-1]['id']
        await self.operator.run('watch', move_id, codes=(0, TAKEN_BACK))
        move: dict[str, Any] = await self.operator.run('move', move_id)
        return move

    async def stop_version(self, version: str) -> None:
        """Stop the targets of a version gracefully, all together."""
        names = [name for name in self.group.by_name if name.endswith(version)]
        await asyncio.gather(*(self.group.stop(name) for name in names))

    async def kill_leader(self) -> list[str]:
        """Kill the leader and start it again."""
        leader = str(await self._leader())
        await self.group.kill(leader)
        await asyncio.sleep(SETTLE_S)
        await self.group.start_daemon(self._settings_of(leader))
        return [leader]

    async def kill_many(self) -> list[str]:
        """Kill the leader, another control instance and a server."""
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

    async def _until_leader(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._has_leader():
                await asyncio.sleep(POLL_S)

    async def _has_leader(self) -> bool:
        return await self._leader() is not None

    async def _leader(self) -> str | None:
        statuses = await self.operator.run('status', codes=(0, 6))
        leaders = (status.get('leader') for status in statuses.values())
        return next(filter(None, leaders), None)


Kill = Callable[[Stage], Awaitable[list[str]]]


async def run_demo(mesh: Mesh, kill: Kill) -> DemoRun:
    """Play the whole scenario.

    Parameters
    ----------
    mesh : Mesh
        Layout with an empty folder.
    kill : callable
        What dies in the middle of each move.

    Returns
    -------
    DemoRun
        What came of it.
    """
    async with process_group(mesh.folder / 'logs') as group:
        stage = Stage(mesh, group)
        await stage.start_mesh()
        await stage.first_profile()
        async with calling(mesh) as caller:
            run = await _play(stage, caller, kill)
        run.exit_codes = await group.stop_all()
    run.runs = _runs(mesh)
    return run


async def _play(stage: Stage, caller: Caller, kill: Kill) -> DemoRun:
    await asyncio.sleep(SETTLE_S)
    # A group, so that nothing is started again once the demo has failed.
    async with asyncio.TaskGroup() as group:
        killing = group.create_task(_kill_later(stage, kill))
        run = await _play_moves(stage, caller)
    run.killed = killing.result()
    return run


async def _play_moves(stage: Stage, caller: Caller) -> DemoRun:
    good_move = await stage.play_move(GOOD_VERSION)
    drained = _first_target(stage.mesh.servers[0], GOOD_VERSION)
    drain_told_s = time.time()
    leaving = asyncio.gather(
        stage.stop_version(FIRST_VERSION),
        stage.group.stop(drained),
    )
    bad_move = await stage.play_move(
        BAD_VERSION,
        fault_share=BAD_FAULT_SHARE,
    )
    await asyncio.sleep(DRAIN_S)
    await leaving
    return DemoRun(
        folder=stage.mesh.folder,
        caller=caller,
        good_move=good_move,
        bad_move=bad_move,
        drained=drained,
        drain_told_s=drain_told_s,
        killed=[],
        exit_codes={},
        runs={},
        control_bytes=await control_bytes(stage.mesh),
        servers=stage.mesh.servers,
    )


async def _kill_later(stage: Stage, kill: Kill) -> list[str]:
    # The new version starts first, and its move is under way then.
    await asyncio.sleep(KILL_AFTER_S)
    return await kill(stage)


def _first_target(server: Server, version: str) -> str:
    return f'{server.id}-target-{version}'


def _runs(mesh: Mesh) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for path in (mesh.folder / 'runs').glob('*.txt'):
        counts.update(path.read_text('utf-8').split())
    return dict(counts)
