"""Tests of the calls that are blocked since they crash targets."""

import asyncio

import pytest
from mustardspur_control.mesh.crash_index import crash_key
from mustardspur_control.mesh.crash_register import (
    AMBIGUOUS_BLOCK_S,
    CRASHES_TO_BLOCK,
    MAX_CRASHES,
    RETENTION_S,
    CrashRegister,
)
from mustardspur_core.mesh.control_messages import MeshCrash

from tests.support.virtual_time import in_virtual_time

DEADLY = b'deadly'


def crash(
    number: int,
    *fingerprints: bytes,
    age_s: float = 0,
    lifted_index: int = 0,
) -> MeshCrash:
    """Return a crash with the deadly call and others."""
    node = number % 5
    return MeshCrash(
        node=f'10.0.0.{node}:9000',
        incarnation=1,
        number=number,
        fingerprints=[DEADLY, *fingerprints],
        age_s=age_s,
        lifted_index=lifted_index,
    )


def _blocked(register: CrashRegister) -> set[bytes]:
    return set(register.blocked_until_s)


@in_virtual_time
async def test_call_that_crashed_three_targets_is_blocked() -> None:
    """Guards against a call that crashes one target after the other, and
    against refusing calls that were at the same targets by chance.
    """
    register = CrashRegister()
    register.record(crash(1, b'a', b'b'))
    register.record(crash(2, b'b', b'c'))
    assert not _blocked(register)
    register.record(crash(3, b'c'))
    assert _blocked(register) == {DEADLY}


@in_virtual_time
async def test_repeated_report_counts_once() -> None:
    """Guards against a call that is blocked after one crash, which several
    instances report.
    """
    register = CrashRegister()
    for _ in range(CRASHES_TO_BLOCK):
        register.record(crash(1))
    assert not _blocked(register)
    assert not register.crashes_except({crash_key(crash(1))})


@in_virtual_time
async def test_block_ends_after_the_last_crash() -> None:
    """Guards against crashes that instances hand on to each other for ever,
    and against a block without an end.
    """
    register, other = CrashRegister(), CrashRegister()
    for number in range(CRASHES_TO_BLOCK):
        register.record(crash(number))
    await asyncio.sleep(RETENTION_S - 1)
    for known in register.crashes_except(set()):
        other.record(known)
    assert _blocked(register) == _blocked(other) == {DEADLY}
    await asyncio.sleep(1)
    assert not _blocked(register)
    assert not other.crashes_except(set())
    assert not _blocked(other)
    other.record(crash(9, age_s=RETENTION_S))
    assert not other.crashes_except(set())


@in_virtual_time
async def test_companion_of_a_deadly_call_is_released() -> None:
    """Guards against refusing a call for long that was at the same three
    targets by chance, since its attempts followed those of the deadly one.
    """
    register = CrashRegister()
    for number in range(CRASHES_TO_BLOCK):
        register.record(crash(number, b'companion'))
    assert _blocked(register) == {DEADLY, b'companion'}
    sent = register.blocked_until_s
    assert register.blocks_except(sent) is None
    await asyncio.sleep(AMBIGUOUS_BLOCK_S)
    assert not _blocked(register)
    register.record(crash(9))
    update = register.blocks_except(sent)
    assert update is not None
    assert [each.fingerprint for each in update.blocked] == [DEADLY]
    assert update.blocked[0].left_s == pytest.approx(RETENTION_S)


@in_virtual_time
async def test_companion_of_some_crashes_is_released() -> None:
    """Guards against refusing a call for long that was at three of the
    crashes by chance, where the deadly call was at these and others.
    """
    register = CrashRegister()
    register.record(crash(0))
    for number in range(1, CRASHES_TO_BLOCK + 1):
        register.record(crash(number, b'companion'))
    assert _blocked(register) == {DEADLY, b'companion'}
    await asyncio.sleep(AMBIGUOUS_BLOCK_S)
    assert _blocked(register) == {DEADLY}


@in_virtual_time
async def test_number_of_crashes_is_bounded() -> None:
    """Guards against memory that grows with each crash or with the calls of
    crashes that are forgotten, and against counting a forgotten crash.
    """
    register = CrashRegister()
    register.record(crash(-2, b'early', b'early'))
    register.record(crash(-1, b'early'))
    for number in range(MAX_CRASHES + 10):
        register.record(crash(number, b'%d' % number))
    assert len(register.crashes_except(set())) == MAX_CRASHES
    assert len(register.index) == MAX_CRASHES + 1
    register.record(crash(-3, b'early'))
    assert _blocked(register) == {DEADLY}
    await asyncio.sleep(RETENTION_S)
    assert not register.crashes_except(set())
    assert not register.index
