"""Tests of crashes of a target and of calls that are blocked for them."""

import asyncio

import pytest
from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.mesh.control_messages import BlockedCall, MeshBlocks
from mustardspur_core.record import replaced
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.crashes import MAX_RECENT_BODY_BYTES
from mustardspur_node.mesh.fingerprints import call_fingerprint
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HEADER_NAMES

from tests.node.mesh.builders import call_open, local_target
from tests.node.stand_ins.crashing import (
    DEADLY_PATH,
    SLOW_PATH,
    CrashingTarget,
)
from tests.node.stand_ins.scripted import RESET, run_scripted
from tests.support.virtual_time import in_virtual_time, virtual_now_s


async def _ignore(_: object) -> None:
    """Do nothing when the call may run."""


async def _call(local: LocalTarget, path: str) -> None:
    await local.run(call_open(path=path), _ignore)


def _fingerprint(path: str) -> bytes:
    call = call_open(path=path)
    return call_fingerprint(
        HEADER_NAMES, call.method, call.path, call.headers, call.body
    )


async def _until_crashes(local: LocalTarget, count: int) -> None:
    crashed = asyncio.Event()
    local.runs.crashes.on_crash = crashed.set
    if len(local.runs.crashes.crashes) < count:
        await crashed.wait()


async def test_unanswered_calls_are_suspects_of_a_crash() -> None:
    """Guards against crashes whose cause is lost, and against suspecting a
    call that the target answers at other times.
    """
    target = CrashingTarget()
    async with target.running() as address:
        local = local_target(address)
        await _call(local, '/drafts/1')
        outcomes = await asyncio.gather(
            _call(local, SLOW_PATH),
            _call(local, DEADLY_PATH),
            return_exceptions=True,
        )
        assert all(isinstance(each, PlacementFault) for each in outcomes)
        await _until_crashes(local, 1)
    crash = local.runs.crashes.crashes[0]
    assert set(crash.fingerprints) == {
        _fingerprint(SLOW_PATH),
        _fingerprint(DEADLY_PATH),
    }


async def test_reset_connection_is_no_crash() -> None:
    """Guards against blocking calls whose answers a running target loses."""
    async with run_scripted((b'', RESET)) as (address, target):
        local = local_target(address)
        with pytest.raises(PlacementFault, match='broken'):
            await _call(local, '/drafts/1')
        await local.pool.accepts_connections()
        await _call(local, '/drafts/1')
        assert not local.runs.crashes.crashes
        assert target.requests == 2


async def test_blocked_call_is_not_sent() -> None:
    """Guards against a call that crashes a further target although it is
    known to do so, and against refusing it after its block was lifted, as an
    instance blocks it that does not know of the lift.
    """
    async with run_scripted() as (address, target):
        local = local_target(address)
        blocked = BlockedCall(fingerprint=_fingerprint(DEADLY_PATH), left_s=60)
        local.blocked.apply(MeshBlocks(blocked=[blocked], lifted_index=0))
        with pytest.raises(PlacementFault, match='blocked') as fault:
            await _call(local, DEADLY_PATH)
        assert fault.value.not_run
        await _call(local, '/drafts/2')
        assert target.requests == 1
        lifted = replaced(blocked, left_s=0)
        local.blocked.apply(MeshBlocks(blocked=[lifted], lifted_index=7))
        local.blocked.apply(MeshBlocks(blocked=[blocked], lifted_index=5))
        await _call(local, DEADLY_PATH)
        assert target.requests == 2
        local.blocked.apply(MeshBlocks(blocked=[blocked], lifted_index=7))
        with pytest.raises(PlacementFault, match='blocked'):
            await _call(local, DEADLY_PATH)


@in_virtual_time
async def test_down_target_has_crashed_once() -> None:
    """Guards against suspecting the calls that find a target down, which
    would be blocked for crashes that others caused.
    """
    local = local_target('127.0.0.1:9')
    observer = local.runs.crashes
    observer.record_broken(call_open(path=DEADLY_PATH), local.pool)
    await asyncio.sleep(1)
    observer.record_broken(call_open(path='/drafts/1'), local.pool)
    await asyncio.sleep(1)
    assert [each.fingerprints for each in observer.crashes] == [
        [_fingerprint(DEADLY_PATH)],
    ]
    local.pool.connected_s = virtual_now_s()
    observer.record_broken(call_open(path=DEADLY_PATH), local.pool)
    await asyncio.sleep(1)
    assert len(observer.crashes) == 2


@in_virtual_time
async def test_answered_call_is_no_suspect_of_later_crashes() -> None:
    """Guards against calls whose answers are not known as the fingerprints
    of answered calls are computed from the first crash on only.
    """
    local = local_target('127.0.0.1:9')
    large = call_open(path='/large', body=bytes(MAX_RECENT_BODY_BYTES + 1))
    first, second = call_open(path='/first'), call_open(path='/second')
    deadly = call_open(path=DEADLY_PATH)
    await _crash(local, [first, large], [first, deadly])
    local.runs.crashes.record_lift(7)
    local.runs.crashes.record_lift(5)
    await _crash(local, [large, second], [first, large, second, deadly])
    indexes = [each.lifted_index for each in local.runs.crashes.crashes]
    assert indexes == [0, 7]
    assert [each.fingerprints for each in local.runs.crashes.crashes] == [
        [_fingerprint(DEADLY_PATH)],
        [_fingerprint(DEADLY_PATH)],
    ]


async def _crash(
    local: LocalTarget, answered: list[CallOpen], unanswered: list[CallOpen]
) -> None:
    """Record calls up to a crash of a target that was up before."""
    local.pool.connected_s = virtual_now_s()
    for call in answered:
        local.runs.crashes.record_answered(call)
    for broken in unanswered:
        local.runs.crashes.record_broken(broken, local.pool)
    await asyncio.sleep(1)


@pytest.mark.parametrize(
    'changes',
    [
        {'method': 'HEAD'},
        {'path': '/drafts/1?x=2'},
        {'body': b'1'},
        {'headers': [['host', 'other.example']]},
        {'headers': [['Host', 'a'], ['x-mustardspur-origin', 'two']]},
    ],
)
async def test_other_call_has_another_fingerprint(
    changes: dict[str, object],
) -> None:
    """Guards against refusing calls that differ from the blocked one."""
    call, other = call_open('r1'), call_open('r2', **changes)
    same = call_open('r2')
    fingerprints = [
        call_fingerprint(
            HEADER_NAMES, each.method, each.path, each.headers, each.body
        )
        for each in (call, same, other)
    ]
    assert fingerprints[0] == fingerprints[1]
    assert fingerprints[0] != fingerprints[2]
