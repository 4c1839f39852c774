"""Disturbances and final faults of plays."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from types import MappingProxyType
from typing import Any, Final

from tests.platform.final_faults.play import CATCH_UP_S, SYNC_S, Play
from tests.platform.mesh_processes import HANG_LIMIT_S

Step = Callable[[Play], Coroutine[Any, Any, None]]
_ERRORS: Final = ('ENOSPC', 'EDQUOT', 'EIO')
_REFUSED: Final = (
    ('grow',),
    ('write', 'create'),
    ('write', 'create', 'cut', 'rename', 'remove'),
    ('write', 'create', 'cut', 'rename', 'remove', 'sync'),
)
_CLOCK_STEPS_S: Final = (90, 600, 3600, 7200, 86_400)
_BOTH: Final = (True, False)


async def pause(play: Play) -> None:
    """Let orders go on without a disturbance."""
    await asyncio.sleep(play.random.uniform(0, 2))


async def full_disks(play: Play) -> None:
    """Fill the disks one after another, with overlap."""
    hosts = play.random.sample(play.orders.hosts, 4)
    await asyncio.gather(
        *(_fill(play, host, turn) for turn, host in enumerate(hosts))
    )
    play.note('disks have room')
    await asyncio.sleep(play.random.uniform(0, 3))


async def _fill(play: Play, host: str, turn: int) -> None:
    await asyncio.sleep(turn * play.random.uniform(0.3, 2))
    error = play.random.choice(_ERRORS)
    refused = play.random.choice(_REFUSED)
    play.note(f'{host} refuses {refused} with {error}')
    partial = play.random.choice(_BOTH)
    play.mesh.set_faults(host, error=error, refused=refused, partial=partial)
    await asyncio.sleep(play.random.uniform(0.3, 3))
    play.mesh.set_faults(host, sync_s=play.random.choice(SYNC_S))


async def clock_steps(play: Play) -> None:
    """Step the time of day of three instances, one after another."""
    hosts = play.random.sample(play.orders.hosts, 3)
    while hosts:
        host = hosts.pop()
        step_s = play.random.choice((-1, 1))
        step_s *= play.random.choice(_CLOCK_STEPS_S)
        play.note(f'clock of {host} steps by {step_s} s')
        play.mesh.set_faults(host, clock_step_s=step_s, sync_s=SYNC_S[1])
        await asyncio.sleep(play.random.uniform(0.1, 1.5))


async def frozen(play: Play) -> None:
    """Freeze two instances around an ack, sometimes until the final fault."""
    hosts = play.random.sample(play.orders.hosts, 2)
    await play.until_ack()
    for host in hosts:
        play.signal(host, signal.SIGSTOP)
    play.note(f'frozen {hosts}')
    if play.random.choice((True, False, False)):
        return
    await asyncio.sleep(play.random.uniform(1, 4))
    for resumed in hosts:
        play.signal(resumed, signal.SIGCONT)
    play.note('resumed')
    await asyncio.sleep(play.random.choice((0, 0, 0.05, 0.5)))


async def replaced(play: Play) -> None:
    """Replace instances by new ones, the old ones ended as planned or not."""
    await _replace(play, is_planned=play.random.choice(_BOTH))
    if play.random.choice(_BOTH):
        await _replace(play, is_planned=play.random.choice(_BOTH))


async def _replace(play: Play, *, is_planned: bool) -> None:
    old = play.random.choice(play.orders.hosts)
    new = play.new_controls.pop(0)
    play.note(f'{old} replaced by {new}, planned: {is_planned}')
    play.orders.hosts.remove(old)
    if not is_planned:
        await play.end(old)
        await asyncio.sleep(play.random.uniform(0, 1))
    await play.start(new)
    play.orders.hosts.append(new)
    if is_planned:
        await asyncio.sleep(play.random.uniform(0.5, 3))
        await play.mesh.stop(old)
    await play.until_caught_up(new, 'vote_counts')
    await asyncio.sleep(play.random.uniform(1, 4))


async def replaced_often(play: Play) -> None:
    """Replace two instances, each as soon as a further loss is allowed."""
    await _replace_soon(play)
    await _replace_soon(play)


async def _replace_soon(play: Play) -> None:
    old = play.random.choice(play.orders.hosts)
    new = play.new_controls.pop(0)
    play.note(f'{old} replaced by {new}')
    play.orders.hosts.remove(old)
    await play.end(old)
    await asyncio.sleep(play.random.uniform(0, 1))
    await play.start(new)
    play.orders.hosts.append(new)
    await play.mesh.until_logged(new, '"started"')
    await asyncio.sleep(CATCH_UP_S + play.random.uniform(1, 2))


async def wiped(play: Play) -> None:
    """Wipe an instance beside a change of the leader."""
    victim, other = play.random.sample(play.orders.hosts, 2)
    await play.until_ack()
    kind = play.random.choice(('kill', 'freeze', 'stop'))
    play.note(f'{victim} wiped, {other}: {kind}')
    await play.end(victim)
    play.mesh.wipe(victim)
    if kind == 'freeze':
        play.signal(other, signal.SIGSTOP)
    else:
        await (play.mesh.stop(other) if kind == 'stop' else play.end(other))
    await asyncio.sleep(play.random.uniform(0.1, 1))
    await play.start(victim)
    if kind == 'freeze':
        await asyncio.sleep(play.random.uniform(0, 2))
        play.signal(other, signal.SIGCONT)
    else:
        await play.start(other)
    await play.until_caught_up(victim, 'refilled')
    await asyncio.sleep(play.random.uniform(0, 2))


async def formation(play: Play) -> None:
    """Kill all while the mesh forms, once or twice."""
    ordering = asyncio.create_task(play.orders.order_all_the_time())
    await _restart_forming(play)
    if play.random.choice(_BOTH):
        await _restart_forming(play)
    ordering.cancel()


async def _restart_forming(play: Play) -> None:
    await asyncio.sleep(play.random.uniform(0.3, 2.5))
    await play.end_all()
    is_power_lost = play.random.choice(_BOTH)
    if is_power_lost:
        _lose_power(play, play.orders.hosts)
    # Without its file, an instance is started for the first time again.
    forgotten = [
        host for host in play.orders.hosts if not _has_first_voters(play, host)
    ]
    play.note(f'all killed, power lost: {is_power_lost}; no file: {forgotten}')
    await asyncio.sleep(play.random.uniform(0.2, 1))
    await asyncio.gather(
        *(
            play.start(host, first_start=host in forgotten)
            for host in play.orders.hosts
        )
    )


def leave_one_out(play: Play) -> None:
    """Leave out a seed until all instances start again."""
    seed = play.random.choice(play.seeds).partition(':')[0]
    play.absent.append(seed)
    play.orders.hosts.remove(seed)
    play.note(f'{seed} left out')


async def until_first_ack(play: Play) -> None:
    """Wait for the first acks of the mesh."""
    async with asyncio.timeout(HANG_LIMIT_S):
        while not play.orders.acked:
            await asyncio.sleep(0.001)
    await asyncio.sleep(play.random.choice((0, 0.2, 1)))


async def power_lost(play: Play) -> None:
    """All instances lose power."""
    await play.until_ack()
    await play.end_all()
    lost = _lose_power(play, play.orders.hosts)
    play.note(f'power lost at all, unsynced {lost}')


async def disk_lost_beside_power(play: Play) -> None:
    """One instance loses its disk, all others lose power."""
    victim = await _wipe_at_end(play)
    others = [host for host in play.orders.hosts if host != victim]
    lost = _lose_power(play, others)
    play.note(f'{victim} wiped, power lost at others, unsynced {lost}')


async def all_killed(play: Play) -> None:
    """All instances are killed."""
    await play.until_ack()
    await play.end_all()
    play.note('all killed')


async def disk_lost_beside_kill(play: Play) -> None:
    """One instance loses its disk, all others are killed."""
    victim = await _wipe_at_end(play)
    play.note(f'{victim} wiped, others killed')


async def _wipe_at_end(play: Play) -> str:
    await play.until_ack()
    victim = play.random.choice(play.orders.hosts)
    acking = play.orders.last_acking_host
    if acking in play.orders.hosts and play.random.choice(_BOTH):
        victim = acking
    await play.end_all()
    play.mesh.wipe(victim)
    return victim


def _lose_power(play: Play, hosts: list[str]) -> list[int]:
    return [play.mesh.lose_power(host, play.random) for host in hosts]


def _has_first_voters(play: Play, host: str) -> bool:
    folder = play.mesh.launcher.data_dir(host)
    return (folder / 'first-voters.json').exists()


BEFORE: Final = MappingProxyType(
    {
        'plain': pause,
        'full': full_disks,
        'clock': clock_steps,
        'frozen': frozen,
        'replaced': replaced,
        'often': replaced_often,
        'wiped': wiped,
    }
)
FINAL: Final = MappingProxyType(
    {
        'power': power_lost,
        'disk+power': disk_lost_beside_power,
        'killed': all_killed,
        'disk+killed': disk_lost_beside_kill,
    }
)
