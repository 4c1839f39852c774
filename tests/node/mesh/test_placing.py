"""Tests of the placement of calls on targets."""

import asyncio
from http import HTTPStatus
from typing import Final

import pytest
from mustardspur_core.exposition import MetricsRegistry
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.control_messages import (
    BlockedCall,
    MeshBlocks,
    MeshTargets,
)
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings
from mustardspur_node.mesh.caller_connection import CALLER_LEFT
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.fingerprints import call_fingerprint
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.retry_after import (
    BLOCKED_RETRY_AFTER_S,
    BUSY_RETRY_AFTER_S,
    RETRY_FRACTION,
    UNKNOWN_RETRY_AFTER_S,
)
from mustardspur_node.mesh.view import MeshView, RouteIndex

from tests.core.mesh.builders import (
    account,
    mesh_settings,
    route,
    table,
    target,
)
from tests.node.mesh.builders import (
    local_target,
    mesh_call,
    node_settings,
    waiting_request,
)
from tests.node.stand_ins.scripted import KEEP, run_scripted
from tests.support.ports import free_address
from tests.support.virtual_time import in_virtual_time

FULL_LOAD: Final = TargetLoad(
    running=4,
    waiting=40,
    slots=4,
    run_ms=60.0,
    failure_rate=0,
    open=True,
    link_wait_ms=0,
)


_LARGE_BYTES: Final = 100_000
_LARGE_ERROR: Final = (
    b'HTTP/1.1 500 Error\r\nx-request-id: {id}\r\n'
    b'content-length: 100000\r\n\r\n%s'
) % bytes(_LARGE_BYTES)

# Its calls may wait for a slot, so that a target in use is eligible.
_PATIENT_ROUTE: Final = route('drafts', objective_ms=1000.0)


def _placer(
    view: MeshView,
    address: str = '127.0.0.1:9',
    blocked: tuple[BlockedCall, ...] = (),
) -> Placer:
    settings = node_settings()
    assert isinstance(settings.mesh, MeshSettings)
    local = local_target(address)
    local.blocked.apply(MeshBlocks(blocked=list(blocked), lifted_index=0))
    return Placer(settings, settings.mesh, view, local, NullMetrics())


@in_virtual_time
async def test_caller_retries_once_a_table_may_be_received() -> None:
    """Guards against callers that use all their retries during a restart."""
    with pytest.raises(UnansweredCall) as refusal:
        await _placer(MeshView()).place(mesh_call())
    assert refusal.value.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert refusal.value.retry_after_s == UNKNOWN_RETRY_AFTER_S


def _view_of_one_target() -> MeshView:
    """Return a view with one target."""
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('1')], removed=[]),
    )
    return view


@pytest.mark.parametrize(
    ('useful_for_s', 'after_s'),
    [
        (0.28, 0.3 * RETRY_FRACTION),
        (0.05, BUSY_RETRY_AFTER_S),
        (0.9, BUSY_RETRY_AFTER_S),
    ],
)
@in_virtual_time
async def test_refused_caller_retries_in_time(
    useful_for_s: float,
    after_s: float,
) -> None:
    """Guards against retries whose answers can only be late."""
    placer = _placer(_view_of_one_target())
    placer.chooser.record_load('127.0.0.1:1', FULL_LOAD)
    call = mesh_call(useful_s=asyncio.get_running_loop().time() + useful_for_s)
    with pytest.raises(UnansweredCall, match='busy') as refusal:
        await placer.place(call)
    assert refusal.value.retry_after_s == pytest.approx(after_s)


async def test_call_passes_over_missing_targets() -> None:
    """Guards against calls that are refused while a target has free slots,
    because the first ones that are tried were lost or restarted.
    """
    missing = [target(str(number)) for number in range(21, 28)]
    own = target('2', id='t1')
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[*missing, own], removed=[]),
    )
    async with run_scripted() as (address, _):
        placer = _placer(view, address)
        placer.chooser.record_load(own.node, replaced(FULL_LOAD, waiting=0))
        answer = await placer.place(mesh_call(route=_PATIENT_ROUTE))
    assert answer.body == b'good'


async def _place_at_home(placer: Placer) -> UnansweredCall:
    """Return the refusal of a call that may be served at home only."""
    at_home = replaced(_PATIENT_ROUTE, home_regions=['dalmacija'])
    try:
        await placer.place(mesh_call(route=at_home))
    except UnansweredCall as error:
        return error
    raise AssertionError('the call was answered')


async def test_retry_stays_in_the_home_region() -> None:
    """Guards against bodies that a retry sends to another region: the only
    target at home cannot be reached, the other one has free slots.
    """
    abroad = target('2', id='t1', region='istra')
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('21'), abroad], removed=[]),
    )
    async with run_scripted() as (address, scripted):
        refusal = await _place_at_home(_placer(view, address))
        assert refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert not scripted.requests


@in_virtual_time
async def test_no_target_at_home_is_refused_at_once() -> None:
    """Guards against calls that wait for a target in a lost region."""
    view = MeshView()
    abroad = target('2', region='istra')
    view.apply_targets(MeshTargets(full=True, upserts=[abroad], removed=[]))
    refusal = await _place_at_home(_placer(view))
    assert refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert refusal.retry_after_s == UNKNOWN_RETRY_AFTER_S
    assert refusal.reason == 'no target is known in dalmacija'
    assert asyncio.get_running_loop().time() == 0


async def test_blocked_caller_is_told_to_wait() -> None:
    """Guards against retries of a call that all targets refuse."""
    call = mesh_call(route=_PATIENT_ROUTE)
    fingerprint = call_fingerprint(
        HEADER_NAMES, call.method, call.path, call.headers, call.body
    )
    blocked = BlockedCall(fingerprint=fingerprint, left_s=60)
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
    )
    async with run_scripted() as (address, scripted):
        placer = _placer(view, address, (blocked,))
        with pytest.raises(UnansweredCall, match='crashed') as refusal:
            await placer.place(call)
        assert refusal.value.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert refusal.value.retry_after_s == BLOCKED_RETRY_AFTER_S
        assert not scripted.requests


async def _hold_slots(local: LocalTarget, length_s: float) -> None:
    """Use both slots of a target for a time."""
    admission = local.admission
    async with (
        admission.admitted(waiting_request(0), 100),
        admission.admitted(waiting_request(0), 100),
    ):
        await asyncio.sleep(length_s)


async def test_call_waits_after_refused_first_offers() -> None:
    """Guards against calls that are refused, or use the retry budget, since
    all targets refuse an offer without a wait.
    """
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
    )
    metrics = MetricsRegistry()
    mesh = replaced(mesh_settings(), balancing='first_free')
    async with run_scripted() as (address, scripted):
        local = local_target(address)
        placer = Placer(node_settings(), mesh, view, local, metrics)
        holding = asyncio.create_task(_hold_slots(local, 0.05))
        await asyncio.sleep(0)
        answer = await placer.place(mesh_call(route=_PATIENT_ROUTE))
        await holding
        assert scripted.requests == 1
    assert answer.body == b'good'
    assert 'mustardspur_calls_offer_refused_data_centre 1' in metrics.text()
    assert 'repeat' not in metrics.text()
    assert local.refused == 1


async def test_stop_answers_calls_that_were_not_sent() -> None:
    """Guards against callers whose connection is closed without an answer.

    A node that stops has less time left than its callers wait for.
    """
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
    )
    async with run_scripted() as (address, scripted):
        local = local_target(address)
        placer = Placer(
            node_settings(), mesh_settings(), view, local, NullMetrics()
        )
        holding = asyncio.create_task(_hold_slots(local, 0.2))
        await asyncio.sleep(0)
        waiting = asyncio.create_task(
            placer.place(mesh_call(route=_PATIENT_ROUTE)),
        )
        await asyncio.sleep(0.01)
        placer.end_unsent()
        with pytest.raises(UnansweredCall) as refusal:
            await waiting
        await holding
        assert refusal.value.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert not scripted.requests


@pytest.mark.parametrize('passed_on', [False, True])
async def test_call_that_is_cut_off_is_logged(
    caplog: pytest.LogCaptureFixture,
    *,
    passed_on: bool,
) -> None:
    """Guards against a request without an answer that no log line names."""
    caplog.set_level('INFO')
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
    )
    async with run_scripted((b'', KEEP)) as (address, _):
        local = local_target(address)
        placer = Placer(
            node_settings(), mesh_settings(), view, local, NullMetrics()
        )
        held_s = 0 if passed_on else 0.1
        holding = asyncio.create_task(_hold_slots(local, held_s))
        await asyncio.sleep(0)
        placing = asyncio.create_task(
            placer.place(mesh_call(route=_PATIENT_ROUTE)),
        )
        await asyncio.sleep(0.02)
        placing.cancel(CALLER_LEFT)
        with pytest.raises(asyncio.CancelledError):
            await placing
        await holding
    assert [
        (each.__dict__['request'], each.__dict__['passed_on'])
        for each in caplog.records
        if each.message == 'call cut off'
        and each.__dict__['reason'] == CALLER_LEFT
    ] == [('r1', passed_on)]


async def test_stopping_node_places_calls_that_end_in_time() -> None:
    """Guards against runs that are cut off at the end of the grace time, and
    against refusals of calls that are answered before it.
    """
    async with run_scripted() as (address, scripted):
        view = MeshView()
        view.apply_targets(
            MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
        )
        placer = _placer(view, address)
        latest_s = asyncio.get_running_loop().time() + 2
        placer.refuse_after(latest_s)
        call = mesh_call()
        assert (await placer.place(call)).body == b'good'
        call.deadline_s = latest_s + 1
        with pytest.raises(UnansweredCall, match='node stops') as refusal:
            await placer.place(call)
        assert refusal.value.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert scripted.requests == 1


async def test_calls_earn_retries_once_they_arrive() -> None:
    """Guards against retries without any call, and calls that earn none."""
    view = MeshView()
    accounts = {'cafe': account('cafe')}
    view.routes = RouteIndex(replaced(table(1), accounts=accounts))
    view.apply_targets(
        MeshTargets(full=True, upserts=[target('2', id='t1')], removed=[]),
    )
    mesh = replaced(mesh_settings(), retry_slack=0, retry_ratio=1)
    async with run_scripted() as (address, _):
        local = local_target(address)
        placer = Placer(node_settings(), mesh, view, local, NullMetrics())
        assert not placer.retries.try_acquire('forms')
        calls = [mesh_call(route=_PATIENT_ROUTE) for _ in range(10)]
        await asyncio.gather(*(placer.place(call) for call in calls))
        assert placer.retries.try_acquire('forms')


def _view_of(*targets: MeshTarget) -> MeshView:
    view = MeshView()
    view.apply_targets(
        MeshTargets(full=True, upserts=list(targets), removed=[]),
    )
    return view


async def test_failed_answer_counts_during_its_retry() -> None:
    """Guards against a node that runs out of memory for answers with a server
    error, which it keeps while their retries wait for another target.
    """
    node = free_address()
    view = _view_of(target('2', id='t1'), target('3', id='t1', node=node))
    async with (
        run_scripted((_LARGE_ERROR, KEEP)) as (address, _),
        run_scripted((b'', KEEP)) as (other_address, hanging),
        PeerServer(local_target(other_address)).serving(node),
    ):
        placer = _placer(view, address)
        answers = placer.link.bodies.answers
        placing = asyncio.create_task(placer.place(mesh_call()))
        async with asyncio.timeout(5):
            while not hanging.requests:
                await asyncio.sleep(0.005)
        assert answers.held_bytes == _LARGE_BYTES
        with pytest.raises(UnansweredCall):
            await placing
        assert not answers.held_bytes
        placer.links.close()
