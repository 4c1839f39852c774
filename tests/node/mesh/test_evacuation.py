"""Tests of the withdrawal of targets with their data centre."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

import pytest
from mustardspur_core.mesh.control_messages import MeshTargets, MeshTransfers
from mustardspur_core.mesh.packing import encode_table, table_delta
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import PlacementFault, UnansweredCall
from mustardspur_node.mesh.evacuation import TargetEvacuation
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.reports import MAX_REPORT_DELAY_S
from mustardspur_node.mesh.retry_after import UNKNOWN_RETRY_AFTER_S
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, table, target
from tests.node.mesh.builders import (
    call_open,
    local_target,
    mesh_call,
    node_settings,
    target_report,
)
from tests.node.stand_ins.scripted import KEEP, ScriptedTarget, run_scripted
from tests.support.virtual_time import in_virtual_time

_POLL_S: Final = 0.005
# Kind of a refusal, whether the call ran and whether it was sent.
_CLOSED: Final = ('closed', False, False)
_UNANSWERED: Final = (b'', KEEP)


def _apply(view: MeshView, index: int, *evacuated: str) -> None:
    view.apply_transfers(
        MeshTransfers(
            index=index,
            transfers=[],
            base_versions={},
            evacuated=list(evacuated),
            rolled_back={},
        ),
    )


def _put_table(view: MeshView) -> None:
    rows = encode_table(table(1, route('drafts')))
    view.apply_table(table_delta(None, 0, rows, 1))


async def _until_open(local: LocalTarget) -> None:
    async with asyncio.timeout(5):
        while not local.admission.load.open:
            await asyncio.sleep(_POLL_S)


@asynccontextmanager
async def _node(
    *steps: tuple[bytes, str],
) -> AsyncIterator[tuple[MeshView, LocalTarget, ScriptedTarget]]:
    """Run a node in ``split-a`` beside a target, without a table."""
    async with run_scripted(*steps) as (address, scripted):
        view = MeshView()
        local = local_target(address)
        local.withdraw()
        local.readmit()
        evacuation = TargetEvacuation('split-a', local, view)
        task = asyncio.create_task(evacuation.run())
        # The task starts before the view changes.
        await asyncio.sleep(0)
        yield view, local, scripted
        task.cancel()
        local.pool.close()


def _refusal(ended: object) -> tuple[str, bool, bool]:
    assert isinstance(ended, PlacementFault)
    return ended.kind, not ended.not_run, ended.arrived


class _Reservation:
    """A call that its sender confirms later."""

    def __init__(self) -> None:
        self.confirmed = asyncio.Event()

    async def await_confirmation(self, _: object) -> None:
        await self.confirmed.wait()


async def _ignore_load(_: object) -> None:
    """Let a call be sent at once."""


async def test_started_node_takes_no_call_before_it_knows() -> None:
    """Guards against calls at a node that restarts during an evacuation, and
    against a node that forgets it when it meets an older control instance.
    """
    async with _node() as (view, local, scripted):
        _apply(view, 7, 'split-a')
        _put_table(view)
        _apply(view, 6)
        await asyncio.sleep(0.1)
        with pytest.raises(PlacementFault, match='closed'):
            await local.run(call_open(), _ignore_load)
        health_checks = [scripted.health_checks]
        _apply(view, 8, 'split-b')
        await _until_open(local)
        # An order for another data centre does not concern the target.
        _apply(view, 9)
        await asyncio.sleep(0.1)
        assert [*health_checks, scripted.health_checks] == [0, 1]


@in_virtual_time
async def test_report_alone_does_not_confirm_the_target() -> None:
    """Guards against calls at a node that has just started and does not know
    for certain whether its data centre is evacuated.
    """
    view = MeshView()
    local = local_target('127.0.0.1:9')
    local.withdraw()
    local.readmit()
    evacuation = TargetEvacuation('split-a', local, view)
    task = asyncio.create_task(evacuation.run())
    # Not confirmed by a quorum before the table is.
    _apply(view, 1, 'split-b')
    await asyncio.sleep(MAX_REPORT_DELAY_S + 1)
    local.reports.accept(target_report(address='127.0.0.1:9', sequence=5))
    await asyncio.sleep(1)
    assert not local.admission.load.open
    task.cancel()


async def test_health_check_precedes_readmission() -> None:
    """Guards against calls to a target that has become cold or has failed
    during the evacuation, also if that was ended at once.
    """
    async with _node() as (view, local, scripted):
        _apply(view, 1)
        assert not local.admission.load.open
        _put_table(view)
        await _until_open(local)
        _apply(view, 2, 'split-a')
        _apply(view, 3)
        assert not local.admission.load.open
        await _until_open(local)
        assert scripted.health_checks == 2


async def test_only_running_calls_finish() -> None:
    """Guards against calls that start at a withdrawn target because they
    waited, or were reserved but not confirmed, when the order came, and
    against running calls that are cut off.
    """
    async with _node(_UNANSWERED, _UNANSWERED) as (view, local, scripted):
        _put_table(view)
        await _until_open(local)
        reservation = _Reservation()
        senders = (_ignore_load, reservation.await_confirmation, _ignore_load)
        calls = [
            asyncio.create_task(local.run(call_open(f'r{number}'), sender))
            for number, sender in enumerate(senders)
        ]
        while not (scripted.requests and local.admission.load.waiting):
            await asyncio.sleep(_POLL_S)
        _apply(view, 2, 'split-a')
        # A waiting call does not wait for the end of the others.
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        assert not reservation.confirmed.is_set()
        reservation.confirmed.set()
        ended = await asyncio.gather(*calls[1:], return_exceptions=True)
        assert [_refusal(each) for each in ended] == [_CLOSED, _CLOSED]
        assert local.admission.capacity.running == 1
        assert not calls[0].done()
        calls[0].cancel()
        with suppress(asyncio.CancelledError):
            await calls[0]
        assert local.admission.capacity.running == 0


def _placer(view: MeshView) -> Placer:
    settings = node_settings()
    assert isinstance(settings.mesh, MeshSettings)
    local = local_target('127.0.0.1:9')
    return Placer(settings, settings.mesh, view, local, NullMetrics())


@in_virtual_time
async def test_service_without_targets_is_refused_at_once() -> None:
    """Guards against calls that wait for the end of an evacuation, or are
    placed in the evacuated data centre since their candidates were known.
    """
    view = MeshView()
    row = target('2', id='t1')
    view.apply_targets(MeshTargets(full=True, upserts=[row], removed=[]))
    placer = _placer(view)
    call = mesh_call()
    progress = CallProgress(call, 'forms')
    assert progress.candidates(view, random.Random()) == [row]
    _apply(view, 1, 'split-a')
    assert not progress.candidates(view, random.Random())
    with pytest.raises(UnansweredCall, match='no target is known') as refusal:
        await placer.place(call)
    assert refusal.value.status == 503
    assert refusal.value.retry_after_s == UNKNOWN_RETRY_AFTER_S
    assert asyncio.get_running_loop().time() == 0
