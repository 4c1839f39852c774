"""Tests of what a target states about itself in its answers."""

import logging
from typing import Final

import pytest
from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage
from multidict import CIMultiDict, CIMultiDictProxy
from mustardspur_core.record import replaced
from mustardspur_node.mesh.answer_parser import RawAnswer
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.reports import ReportStore

from tests.node.mesh.builders import call_open, local_target, target_report
from tests.node.stand_ins.scripted import GOOD, KEEP, run_scripted

_LEAVING: Final = GOOD.replace(
    b'\r\n\r\n',
    b'\r\nx-mustardspur-leaving: 1\r\nx-mustardspur-rate-limit: 7\r\n\r\n',
)


async def _ignore(_: object) -> None:
    """Do nothing when the call may run."""


async def test_target_that_says_it_leaves_gets_no_call() -> None:
    """Guards against calls to a target whose answers say that it leaves,
    while no report of it has said so.
    """
    async with run_scripted((_LEAVING, KEEP)) as (address, target):
        local = local_target(address)
        changes: list[str] = []
        local.reports.on_change(lambda: changes.append('changed'))
        answer = await local.run(call_open('r1'), _ignore)
        assert answer.body == b'good'
        with pytest.raises(PlacementFault, match='closed') as fault:
            await local.run(call_open('r2'), _ignore)
        assert fault.value.not_run
        assert (target.requests, changes) == (1, ['changed'])


async def test_late_ready_report_does_not_undo_the_leave() -> None:
    """Guards against a report from before the leave that opens the target."""
    reports = ReportStore('10.0.0.5:9000')
    reports.accept(target_report())
    reports.mark_leaving()
    assert not reports.accept(target_report(sequence=9))
    assert reports.current == target_report(sequence=9, state='draining')
    assert reports.accept(target_report(born=2000, sequence=1))
    assert reports.current == target_report(born=2000, sequence=1)


def _answer(headers: dict[str, str]) -> RawAnswer:
    message = RawResponseMessage(
        version=HttpVersion11,
        code=200,
        reason='OK',
        headers=CIMultiDictProxy(CIMultiDict(headers)),
        raw_headers=(),
        should_close=False,
        compression=None,
        upgrade=False,
        chunked=False,
    )
    return RawAnswer(message, b'good')


async def test_answer_of_an_earlier_target_is_ignored() -> None:
    """Guards against a successor that is closed or limited by what the target
    before it stated.
    """
    local = local_target('127.0.0.1:9')
    earlier = local.reports.current
    assert earlier is not None
    successor = replaced(earlier, born=2000, sequence=1)
    local.reports.accept(successor)
    answer = _answer(
        {'x-mustardspur-leaving': '1', 'x-mustardspur-rate-limit': '7'}
    )
    local.statements.apply(earlier, answer, 0)
    assert local.reports.current == successor
    assert local.admission.capacity.rate_limit.per_s is None
    local.statements.apply(successor, answer, 0)
    assert local.reports.current == replaced(successor, state='draining')
    assert local.admission.capacity.rate_limit.per_s == 7


async def test_statement_that_is_no_number_is_shown_in_part(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines of the log with all that a target states."""
    caplog.set_level(logging.INFO)
    stated = 'x' * 8000
    local = local_target('127.0.0.1:1')
    report = target_report()
    local.reports.accept(report)
    for name in (HEADER_NAMES.rate_limit, HEADER_NAMES.cold_ms):
        local.statements.apply(report, _answer({name: stated}), sent_s=0)
    lines = [record for record in caplog.records if 'read' in record.msg]
    assert len(lines) == 2
    assert all(len(line.__dict__['reason']) < 200 for line in lines)
