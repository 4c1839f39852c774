"""Guards of a whole deployment under a supervisor."""

import asyncio
from pathlib import Path

import pytest

from tests.platform.deployment import steps
from tests.platform.deployment.play import DeploymentPlay
from tests.platform.deployment.run import calling, play_deployment, running
from tests.platform.mesh_processes import HANG_LIMIT_S, POLL_S

_SITE = 'obrazac-kiosk'
# Part of the stated load.
_LOAD = 0.3
# A start, and an end after it, have happened by then.
_WATCHED_S = 3.0


async def test_deployment_keeps_its_promises(tmp_path: Path) -> None:
    """Guards against requests without an answer, acknowledged changes that are
    lost, and processes that end by themselves, under faults that overlap.
    """
    played = await play_deployment(
        _SITE, 'killed', 1, tmp_path, load=0.1, length_s=4
    )
    assert not played['broken']
    assert not played['ended']
    assert played['statuses'][200]


@pytest.mark.parametrize('kind', ['reuse_frozen', 'hold_port'])
@pytest.mark.parametrize('role', ['node', 'control'])
async def test_start_waits_for_its_addresses(
    role: str, kind: str, tmp_path: Path
) -> None:
    """Guards against a process that ends at its start, since another one has
    one of its addresses for some seconds.
    """
    async with running(_SITE, 'killed', 1, tmp_path) as play:
        host = play.nodes[0] if role == 'node' else play.orders.hosts[0]
        await play.start(host)
        await play.mesh.until_logged(host, '"started"')
        supervision = asyncio.create_task(play.restart_ended())
        await steps.AT_ONE[kind](play, host)
        await asyncio.sleep(_WATCHED_S)
        supervision.cancel()
        assert not play.ended


async def _until_ordered(play: DeploymentPlay) -> None:
    async with asyncio.timeout(HANG_LIMIT_S):
        while not await play.orders.change(play.orders.hosts[0]):
            await asyncio.sleep(POLL_S)


async def test_successor_starts_beside_a_draining_node(
    tmp_path: Path,
) -> None:
    """Guards against a node that ends at its start again and again, while the
    node before it at its address completes its calls.
    """
    async with running(_SITE, 'killed', 1, tmp_path) as play:
        host = play.nodes[0]
        await asyncio.gather(play.start_all(first_start=True), play.start(host))
        await _until_ordered(play)
        await play.mesh.until(
            'GET', play.mesh.url(host, 'ready', '/api/readyz')
        )
        supervision = asyncio.create_task(play.restart_ended())
        await steps.reuse_draining(play, host)
        await asyncio.sleep(_WATCHED_S)
        supervision.cancel()
        assert not play.ended


async def test_failed_start_takes_no_call(tmp_path: Path) -> None:
    """Guards against requests without an answer at a node that listens for
    callers and then ends, since its readiness address is taken.
    """
    async with running(_SITE, 'killed', 1, tmp_path) as play:
        host, other = play.nodes[:2]
        await asyncio.gather(
            play.start_all(first_start=True), *map(play.start, (host, other))
        )
        await _until_ordered(play)
        supervision = asyncio.create_task(play.restart_ended())
        async with calling(play, _LOAD):
            await asyncio.sleep(_WATCHED_S)
            await play.stop(host)
            holding = asyncio.create_task(steps.hold(play, host, 'ready', 4))
            await asyncio.sleep(0)
            await play.start(host)
            await holding
            await asyncio.sleep(_WATCHED_S)
        supervision.cancel()
        assert not play.observations.findings()


async def test_taken_address_beside_a_lost_disk(
    tmp_path: Path,
) -> None:
    """Guards against acknowledged orders that cannot be read any more, as an
    instance is given up by its supervisor while its address is taken.
    """
    async with running(_SITE, 'killed', 1, tmp_path) as play:
        play.max_ends = 3
        supervision = asyncio.create_task(play.restart_ended())
        await play.start_all(first_start=True)
        await play.until_counting()
        await _until_ordered(play)
        lost, taken = play.orders.hosts[:2]
        assert await play.orders.transfer(lost)
        await play.end_all()
        play.mesh.wipe(lost)
        holding = asyncio.create_task(steps.hold(play, taken, 'http', 4))
        await asyncio.sleep(0)
        await play.start_all()
        await play.read_back()
        await holding
        supervision.cancel()
        assert not play.ended
        assert not play.orders.broken


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_process_over_its_memory_counts_as_ended(
    role: str, tmp_path: Path
) -> None:
    """Guards against plays that pass although the platform would have killed
    a process for its memory.
    """
    async with running(_SITE, 'killed', 1, tmp_path) as play:
        host = play.nodes[0] if role == 'node' else play.orders.hosts[0]
        play.memory.limits_mib[role] = 1
        await play.start(host)
        watching = asyncio.create_task(play.memory.watch())
        process = play.mesh.processes[host]
        await asyncio.wait_for(process.wait(), HANG_LIMIT_S)
        watching.cancel()
        await play.end(host)
        assert [each.split()[0] for each in play.ended] == [host]
