"""Faults of a deployment, beside those of `final_faults`."""

import asyncio
import signal
import socket
import sys
from asyncio.subprocess import Process, create_subprocess_exec
from collections.abc import Callable, Coroutine
from contextlib import nullcontext, suppress
from itertools import repeat, starmap
from types import MappingProxyType
from typing import Any, Final

from tests.platform.deployment.play import DeploymentPlay
from tests.platform.deployment.sites import REUSE_AFTER_S
from tests.platform.final_faults import steps
from tests.platform.final_faults.mesh import until_ended
from tests.platform.final_faults.play import CATCH_UP_S, SYNC_S
from tests.platform.mesh_processes import until_sighup_harmless

Step = Callable[[DeploymentPlay], Coroutine[Any, Any, None]]
HeldStep = Callable[[DeploymentPlay, str], Coroutine[Any, Any, None]]
_BUSY_PROCESSES: Final = 6
_BUSY_PROGRAM: Final = 'while True: pass'
_NODE_PORTS: Final = ('stream', 'http', 'ready', 'targets', 'metrics')
_CONTROL_PORTS: Final = ('stream', 'http', 'metrics')
_LEAST_CONTROLS: Final = 3
# Time between two stops of a roll.
ROLL_S: Final = 1.3


async def restart(play: DeploymentPlay, host: str) -> None:
    """Stop a process and start it again."""
    play.note(f'{host} stopped')
    await play.stop(host)
    await asyncio.sleep(play.random.uniform(0, 1))
    await play.start(host)


async def kill(play: DeploymentPlay, host: str) -> None:
    """Kill a process and start it again, at once or soon."""
    play.note(f'{host} killed')
    await play.end(host)
    await asyncio.sleep(play.random.choice((0, 0, 0.3, 2)))
    await play.start(host)


async def reuse_draining(play: DeploymentPlay, host: str) -> None:
    """Start a process while the one before it at its address still stops."""
    play.note(f'{host} stopped, successor beside it')
    former = play.take(host)
    if former is not None:
        former.terminate()
        await asyncio.sleep(play.random.choice((0, 0.05, 0.3)))
        await play.start(host)
        await until_ended(former)


async def reuse_frozen(play: DeploymentPlay, host: str) -> None:
    """Start a process while one that is frozen still has its address."""
    play.note(f'{host} frozen, successor beside it')
    former = play.take(host)
    if former is None:
        return
    with play.observations.losses.excused(host):
        former.send_signal(signal.SIGSTOP)
        await play.start(host)
        await asyncio.sleep(play.random.uniform(0.5, 5))
        former.kill()
        await former.wait()


async def hold_port(play: DeploymentPlay, host: str) -> None:
    """Start a process while something else has one of its ports."""
    ports = _NODE_PORTS if host in play.nodes else _CONTROL_PORTS
    play.note(f'{host} stopped')
    await play.stop(host)
    holding = asyncio.create_task(hold(play, host, play.random.choice(ports)))
    await asyncio.sleep(0)
    await play.start(host)
    await holding


async def freeze(play: DeploymentPlay, host: str) -> None:
    """Freeze a process for a while."""
    play.note(f'{host} frozen')
    with play.observations.losses.excused(host):
        play.signal(host, signal.SIGSTOP)
        await asyncio.sleep(play.random.uniform(0.3, 4))
        play.signal(host, signal.SIGCONT)


async def restart_beside_load(play: DeploymentPlay, host: str) -> None:
    """Stop and start a process beside busy ones."""
    play.note(f'{host} restarts beside {_BUSY_PROCESSES} busy processes')
    starts = repeat((sys.executable, '-c', _BUSY_PROGRAM), _BUSY_PROCESSES)
    busy = await asyncio.gather(*starmap(create_subprocess_exec, starts))
    play.taken.extend(busy)
    await restart(play, host)
    await asyncio.sleep(2)
    for process in busy:
        process.kill()
    await asyncio.gather(*map(Process.wait, busy))


async def give_address_on(play: DeploymentPlay, host: str) -> None:
    """Let a target leave, stop its node, and use the address for another
    service after a while, as for a machine that is replaced.
    """
    services = play.mesh.services
    target = play.targets[host]
    play.note(f'{host} leaves')
    await target.leave()
    former = play.take(host)
    if former is not None:
        former.terminate()
    await asyncio.sleep(play.random.uniform(0, REUSE_AFTER_S))
    others = set(services.values()) - {services[host]}
    if list(services.values()).count(services[host]) > 2:
        services[host] = others.pop()
    target.start_again()
    await play.start(host)
    if former is not None:
        await until_ended(former)


async def roll(play: DeploymentPlay) -> None:
    """Stop and start half of the nodes in turn, with overlap."""
    hosts = play.random.sample(play.nodes, len(play.nodes) // 2)
    await asyncio.gather(
        *(_restart_later(play, host, turn) for turn, host in enumerate(hosts))
    )


async def _restart_later(play: DeploymentPlay, host: str, turn: int) -> None:
    await asyncio.sleep(turn * ROLL_S)
    await _held(play, host, restart)


async def at_nodes(play: DeploymentPlay) -> None:
    """One to three faults of nodes at the same time."""
    hosts = play.random.sample(play.nodes, play.random.randint(1, 3))
    kinds = [play.random.choice(sorted(AT_ONE)) for _ in hosts]
    await asyncio.gather(
        *(_held(play, host, AT_ONE[kind]) for host, kind in zip(hosts, kinds))
    )


async def at_control(play: DeploymentPlay) -> None:
    """One fault of a control instance that keeps its disk."""
    kinds = sorted(AT_ONE.keys() - {'give_address_on', 'reuse_draining'})
    kind = play.random.choice(kinds)
    await _held(play, play.random.choice(play.orders.hosts), AT_ONE[kind])


async def kill_controls(play: DeploymentPlay) -> None:
    """Kill all control instances at once, the disks are kept."""
    play.note('all control instances killed')
    await play.end_all()
    await asyncio.sleep(play.random.uniform(0, 0.5))
    await play.start_all()
    if play.random.choice((True, False)):
        await exchange_seeds(play)


async def kill_many(play: DeploymentPlay) -> None:
    """Kill half of the nodes and all control instances at once."""
    free = [host for host in play.nodes if host not in play.busy]
    hosts = free[: len(play.nodes) // 2]
    play.busy.update(hosts)
    play.note(f'{hosts} and all control instances killed')
    await asyncio.gather(*map(play.end, hosts), play.end_all())
    await asyncio.gather(*map(play.start, hosts), play.start_all())
    play.busy.difference_update(hosts)


async def exchange(play: DeploymentPlay) -> None:
    """Exchange the seeds once."""
    await exchange_seeds(play)
    await asyncio.sleep(play.random.uniform(0, 1))


async def reuse_without_disk(play: DeploymentPlay) -> None:
    """Replace a control instance by one without data at its address, while
    the former one still stops or is frozen.
    """
    host = play.random.choice(play.orders.hosts)
    number = play.random.choice((signal.SIGTERM, signal.SIGSTOP))
    play.note(f'{host} {number.name}, successor beside it without a disk')
    former = play.take(host)
    if former is None:
        return
    former.send_signal(number)
    play.mesh.wipe(host)
    await play.start(host)
    await asyncio.sleep(play.random.uniform(0, 4))
    if number == signal.SIGSTOP:
        former.kill()
    await until_ended(former)
    await play.until_caught_up(host, 'refilled')


async def full_at_start(play: DeploymentPlay) -> None:
    """Start a control instance while its disk is full."""
    host = play.random.choice(play.orders.hosts)
    error = play.random.choice(('ENOSPC', 'EDQUOT'))
    refused = play.random.choice((('grow',), ('grow', 'write', 'create')))
    play.note(f'{host} restarts, disk refuses {refused} with {error}')
    await play.stop(host)
    play.mesh.set_faults(host, error=error, refused=refused)
    await play.start(host)
    await asyncio.sleep(play.random.uniform(0.5, 4))
    play.mesh.set_faults(host, sync_s=play.random.choice(SYNC_S))
    await asyncio.sleep(CATCH_UP_S)


async def lose_power(play: DeploymentPlay) -> None:
    """All control instances lose power."""
    await steps.power_lost(play)
    await play.start_all()


async def exchange_seeds(play: DeploymentPlay) -> None:
    """Name other control instances as seeds, and signal all processes.

    The recorder, which is not deployed, handles SIGHUP later than a process.
    """
    port = play.mesh.ports['http']
    hosts = play.random.sample(play.orders.hosts, _LEAST_CONTROLS)
    play.note(f'seeds {hosts}')
    if play.mesh.launcher.is_recorded:
        processes = list(play.mesh.processes.values())
        with suppress(FileNotFoundError):
            # One that ends meanwhile has no status any more.
            await asyncio.gather(
                *(until_sighup_harmless(each.pid) for each in processes)
            )
    play.signal_all([f'{host}:{port}' for host in hosts])


async def hold(
    play: DeploymentPlay, host: str, port: str, least_s: float = 0.5
) -> None:
    """Hold a port of a process that does not run for some seconds.

    Callers that connect to the test on the port for callers get no answer; on
    the others, a process may listen for callers before it needs the port.
    """
    length_s = play.random.uniform(least_s, 5)
    play.note(f'port {port} of {host} held for {length_s:.1f} s')
    excused = play.observations.losses.excused(host)
    with socket.socket() as held, excused if port == 'http' else nullcontext():
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((host, play.mesh.ports[port]))
        held.listen()
        await asyncio.sleep(length_s)


async def _held(play: DeploymentPlay, host: str, step: HeldStep) -> None:
    """Play a step at a machine, unless another one has it."""
    if host not in play.busy:
        play.busy.add(host)
        await step(play, host)
        play.busy.discard(host)


AT_ONE: Final = MappingProxyType(
    {
        'restart': restart,
        'kill': kill,
        'reuse_draining': reuse_draining,
        'reuse_frozen': reuse_frozen,
        'hold_port': hold_port,
        'freeze': freeze,
        'restart_beside_load': restart_beside_load,
        'give_address_on': give_address_on,
    }
)
# Faults of nodes, and of control instances in plays of each kind.
OF_NODES: Final = (at_nodes, at_nodes, at_nodes, roll)
_OF_CONTROLS: Final[tuple[Any, ...]] = (
    at_control,
    kill_controls,
    kill_many,
    exchange,
    reuse_without_disk,
    steps.wiped,
    steps.replaced,
)
OF_CONTROLS: Final = MappingProxyType(
    {
        'killed': _OF_CONTROLS,
        'recorded': (*_OF_CONTROLS, full_at_start, lose_power),
    }
)
