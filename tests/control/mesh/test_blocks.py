"""Tests of lifts of blocks, over control instances and restarts."""

import json

from mustardspur_control.mesh.block_entries import MAX_LIFTED
from mustardspur_control.mesh.blocks import follow_lifts
from mustardspur_control.mesh.crash_register import CrashRegister
from mustardspur_control.mesh.store import MeshStore
from mustardspur_core.mesh.entries import LiftBlock
from mustardspur_core.wire import encode_frame

from tests.control.mesh.block_orders import (
    DEADLY,
    BlockingControl,
    record_crashes,
)
from tests.control.mesh.evacuation_orders import order
from tests.control.operators_api.fakes import LEADER_ADDRESS, failure
from tests.support.virtual_time import in_virtual_time

_PATH = f'/v1/blocks/{DEADLY.hex()}'


async def test_lift_is_an_order_to_the_leader() -> None:
    """Guards against a lift that is lost with its answer, that an instance
    without the lead takes, or that a misspelt fingerprint seems to have.
    """
    control = BlockingControl()
    assert (await order(control.app, 'DELETE', _PATH))[0] == 404
    record_crashes(control.crashes)
    control.log.lost_answers = 1
    assert (await order(control.app, 'DELETE', _PATH))[0] == 503
    _, text = await order(control.app, 'GET', '/v1/blocks')
    assert json.loads(text) == {'blocks': []}
    digits = DEADLY.hex().upper()
    assert (await order(control.app, 'DELETE', f'/v1/blocks/{digits}'))[
        0
    ] == 200
    assert (await order(control.app, 'DELETE', '/v1/blocks/x1'))[0] == 422
    control.log.failure = failure('not_leader')
    status, text = await order(control.app, 'DELETE', _PATH)
    assert (status, json.loads(text)['leader']) == (503, LEADER_ADDRESS)


@in_virtual_time
async def test_lifted_block_stays_lifted() -> None:
    """Guards against a block that comes back by crashes from before its lift:
    at an instance that learns them later, that applies the lift later, or
    that restarts; and against a call that cannot be blocked again.
    """
    control = BlockingControl()
    record_crashes(control.crashes)
    cut_off = CrashRegister()
    record_crashes(cut_off, first=10)
    outcome = await control.blocks.lift(DEADLY)
    lifted_index = control.store.state.index
    assert outcome.ok == 'accepted'
    restarted, store = CrashRegister(), MeshStore()
    follow_lifts(store, restarted)
    store.restore(lifted_index, control.store.snapshot())
    follow_lifts(store, cut_off)
    registers = (control.crashes, cut_off, restarted)
    for register in registers:
        record_crashes(register)
        record_crashes(register, first=10)
        assert not register.blocked_until_s
        record_crashes(register, first=20, lifted_index=lifted_index)
        assert set(register.blocked_until_s) == {DEADLY}
    await control.blocks.lift(DEADLY)
    assert not control.crashes.blocked_until_s
    # The lift may also be applied after the crashes that follow it.
    late = CrashRegister()
    record_crashes(late)
    record_crashes(late, first=20, lifted_index=lifted_index)
    follow_lifts(store, late)
    assert set(late.blocked_until_s) == {DEADLY}
    assert late.blocks[0].crashes == 3


@in_virtual_time
async def test_nodes_learn_of_a_lift() -> None:
    """Guards against a node that goes on to refuse a call, as it has its block
    from another instance or from an earlier stream.
    """
    control = BlockingControl()
    record_crashes(control.crashes)
    sent = control.crashes.blocked_until_s
    await control.blocks.lift(DEADLY)
    update = control.crashes.blocks_except(sent)
    assert update is not None
    assert [(each.fingerprint, each.left_s) for each in update.blocked] == [
        (DEADLY, 0)
    ]
    lifted_index = control.crashes.lifted_index
    assert control.crashes.blocks_except({}, lifted_index) is None
    record_crashes(control.crashes, first=20, lifted_index=lifted_index)
    update = control.crashes.blocks_except({}, 0)
    assert update is not None
    assert [each.left_s > 0 for each in update.blocked] == [True]


def test_number_of_lifts_is_bounded() -> None:
    """Guards against a state that grows with each lift, and against dropping
    the latest ones.
    """
    store = MeshStore()
    for index in range(1, MAX_LIFTED + 3):
        call = max(index, 2).to_bytes(16)
        store.apply(index, encode_frame(LiftBlock(fingerprint=call)))
    assert len(store.state.lifted) == MAX_LIFTED
    assert min(store.state.lifted.values()) == 3
