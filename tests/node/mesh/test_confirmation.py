"""Tests of the first reports to a node that has just started."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.packing import table_delta, encode_table
from mustardspur_node.mesh.confirmation import confirm_target
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import OWN_NAMES
from mustardspur_node.mesh.reports import ReportBook
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, table
from tests.node.mesh.builders import target_report
from tests.node.stand_ins.scripted import run_scripted
from tests.support.virtual_time import in_virtual_time

_LEAVING: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
)
_POLL_S: Final = 0.01


def _unconfirmed(address: str) -> LocalTarget:
    """Return a target whose ready report reached a node that has restarted."""
    local = LocalTarget(ReportBook(address), OWN_NAMES)
    local.book.take(target_report(address=address, slots=2))
    local.refresh()
    return local


def _view() -> MeshView:
    view = MeshView()
    rows = encode_table(table(1, route('drafts')))
    view.take_table(table_delta(None, 0, rows, 1))
    return view


async def _until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(_POLL_S)


async def test_late_report_does_not_open_the_gate() -> None:
    """Guards against calls to a target whose leave the node acknowledged
    before it was restarted, on a report that was sent earlier and came late.
    """
    async with run_scripted() as (address, target):
        target.health = _LEAVING
        local = _unconfirmed(address)
        task = asyncio.create_task(confirm_target(local, _view()))
        await _until(lambda: target.questions > 0)
        assert not local.gate.load.open
        local.book.take(target_report(address=address, state='draining'))
        local.confirm()
        assert not local.gate.load.open
        task.cancel()


async def test_target_that_takes_calls_opens_the_gate() -> None:
    """Guards against a sound target that stays without calls."""
    async with run_scripted() as (address, _):
        local = _unconfirmed(address)
        await confirm_target(local, _view())
        assert local.gate.load.open


@in_virtual_time
async def test_reports_are_relied_on_after_a_while() -> None:
    """Guards against a target that is never used while nobody can tell the
    node at which path to ask it.
    """
    local = _unconfirmed('127.0.0.1:9')
    await confirm_target(local, MeshView())
    assert local.gate.load.open
