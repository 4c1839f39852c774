"""Tests of the health check of a target after a node starts."""

import asyncio
from collections.abc import Callable
from typing import Final

import pytest
from mustardspur_core.mesh.packing import encode_table, table_delta
from mustardspur_node.mesh.confirmation import confirm_target, is_healthy
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.reports import MAX_REPORT_DELAY_S, ReportStore
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, table
from tests.node.mesh.builders import target_report
from tests.node.stand_ins.scripted import run_scripted
from tests.support.virtual_time import in_virtual_time

_UNAVAILABLE: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
)
_POLL_S: Final = 0.01


def _unconfirmed(address: str) -> LocalTarget:
    """Return a target that is ready by its report but not confirmed."""
    local = LocalTarget(ReportStore(address), HEADER_NAMES)
    local.reports.accept(target_report(address=address, slots=2))
    local.refresh()
    return local


def _view() -> MeshView:
    view = MeshView()
    rows = encode_table(table(1, route('drafts')))
    view.apply_table(table_delta(None, 0, rows, 1))
    return view


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(_POLL_S)


async def test_late_report_does_not_confirm_the_target() -> None:
    """Guards against calls to a removed target: the node acknowledged the
    removal, restarted, and then received an earlier report of the target.
    """
    async with run_scripted() as (address, target):
        target.health = _UNAVAILABLE
        local = _unconfirmed(address)
        task = asyncio.create_task(confirm_target(local, _view()))
        await _until(lambda: target.health_checks > 0)
        assert not local.admission.load.open
        local.reports.accept(target_report(address=address, state='draining'))
        local.confirm()
        assert not local.admission.load.open
        task.cancel()


async def test_healthy_target_is_confirmed() -> None:
    """Guards against a healthy target that receives no calls."""
    async with run_scripted() as (address, _):
        local = _unconfirmed(address)
        await confirm_target(local, _view())
        assert local.admission.load.open


async def test_health_check_tells_the_rate_limit() -> None:
    """Guards against a node that forgets the limit of its target when it
    restarts, and sends it as many calls as it has slots.
    """
    async with run_scripted() as (address, target):
        target.health = (
            b'HTTP/1.1 200 OK\r\nx-mustardspur-rate-limit: 4\r\n'
            b'content-length: 0\r\n\r\n'
        )
        local = _unconfirmed(address)
        await confirm_target(local, _view())
        assert local.admission.capacity.rate_limit.per_s == 4


@in_virtual_time
async def test_target_is_confirmed_without_health_check() -> None:
    """Guards against a target that receives no calls because the node has
    no routing table, which has the health path.
    """
    local = _unconfirmed('127.0.0.1:9')
    task = asyncio.create_task(confirm_target(local, MeshView()))
    await asyncio.sleep(MAX_REPORT_DELAY_S + 1)
    local.reports.accept(target_report(address='127.0.0.1:9', sequence=5))
    async with asyncio.timeout(1):
        await task
    assert local.admission.load.open


@in_virtual_time
async def test_late_report_alone_confirms_nothing() -> None:
    """Guards against calls to a target that left before the node restarted:
    its late report is the only one, and its health check never succeeds.
    """
    local = _unconfirmed('127.0.0.1:9')
    task = asyncio.create_task(confirm_target(local, _view()))
    await asyncio.sleep(10 * MAX_REPORT_DELAY_S)
    assert not local.admission.load.open
    assert not task.done()
    task.cancel()


_OK: Final = b'HTTP/1.1 200 OK\r\n'


@pytest.mark.parametrize(
    ('name', 'health'),
    [
        ('length', b'%scontent-length: 900000000\r\n\r\n' % _OK),
        (
            'long',
            b'%scontent-length: 1999999\r\n\r\n%s' % (_OK, bytes(1_999_999)),
        ),
        ('no HTTP', bytes(1_999_999)),
        ('to the end', b'%s\r\n%s' % (_OK, bytes(1_999_999))),
    ],
)
async def test_long_answer_fails_the_health_check(
    name: str, health: bytes
) -> None:
    """Guards against a health check that holds what a target sends without
    end, and against calls to such a target.
    """
    async with run_scripted() as (address, target):
        target.health = health
        local = _unconfirmed(address)
        assert not await is_healthy(local, '/healthz'), name
        assert target.connections == 1


async def test_verbose_target_is_healthy() -> None:
    """Guards against a sound target that counts as unhealthy for the length
    of what it states about itself.
    """
    async with run_scripted() as (address, target):
        stated = bytes(500_000)
        target.health = b'%scontent-length: 500000\r\n\r\n%s' % (_OK, stated)
        assert await is_healthy(_unconfirmed(address), '/healthz')


async def test_health_check_takes_nothing_of_the_answers() -> None:
    """Guards against health checks that fail while answers of calls take all
    room that there is for them.
    """
    async with run_scripted() as (address, target):
        target.health = b'%scontent-length: 4\r\n\r\ngood' % _OK
        local = _unconfirmed(address)
        local.budget.hold(local.budget.limit_bytes)
        assert await is_healthy(local, '/healthz')
