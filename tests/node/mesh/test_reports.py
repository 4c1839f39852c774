"""Tests of what a target says of itself."""

import asyncio

import pytest
import pytest_asyncio
from mustardspur_node.mesh.reports import (
    LATE_REPORTS_S,
    ReportBook,
    TargetReport,
)

from tests.node.mesh.builders import target_report
from tests.support.virtual_time import in_virtual_time


@pytest_asyncio.fixture(name='book')
async def make_book() -> ReportBook:
    """Return a book that has taken a report."""
    book = ReportBook('10.0.0.5:9000')
    book.take(target_report())
    return book


@pytest.mark.parametrize(
    ('name', 'report'),
    [
        ('an earlier one', target_report(sequence=3, state='draining')),
        ('of an earlier start', target_report(born=999, sequence=90)),
        ('of an earlier target', target_report(id='t0', born=900, sequence=90)),
        (
            'of another instance',
            target_report(address='10.0.0.6:9000', born=2000),
        ),
    ],
)
async def test_report_is_not_used(
    book: ReportBook,
    name: str,
    report: TargetReport,
) -> None:
    """Guards against late and false reports."""
    assert not book.take(report), name
    assert book.current == target_report()


async def test_same_identity_starts_anew(book: ReportBook) -> None:
    """Guards against a restarted target that counts as known."""
    assert book.take(target_report(born=2000, sequence=1))


async def test_left_target_stays_away(book: ReportBook) -> None:
    """Guards against a late report that brings a target back."""
    assert book.leave('t1')
    assert not book.take(target_report(sequence=9))
    assert book.current is None
    assert book.take(target_report(born=2000, sequence=1))


@in_virtual_time
async def test_unknown_target_that_left_stays_away() -> None:
    """Guards against a late report that brings back a target whose leave
    came right after a restart of the node, which did not know it yet.
    """
    book = ReportBook('10.0.0.5:9000')
    assert not book.leave('t1')
    assert not book.take(target_report())
    assert book.current is None
    assert book.take(target_report(id='t2'))
    await asyncio.sleep(LATE_REPORTS_S)
    assert book.take(target_report(born=2000))


@in_virtual_time
async def test_repeated_leave_does_not_delay_a_new_start() -> None:
    """Guards against a target that is refused after it has started anew."""
    book = ReportBook('10.0.0.5:9000')
    book.take(target_report())
    assert book.leave('t1')
    assert not book.leave('t1')
    assert book.take(target_report(born=2000, sequence=1))


async def test_next_target_at_the_address(book: ReportBook) -> None:
    """Guards against the leave of an old target that drops its successor."""
    book.take(target_report(id='t2', service='stamps', born=3000, sequence=1))
    assert not book.leave('t1')
    assert book.current is not None
    assert book.current.service == 'stamps'


async def test_heartbeat_changes_nothing(book: ReportBook) -> None:
    """Guards against an announcement to all nodes at each heartbeat."""
    assert not book.take(target_report(sequence=5))
