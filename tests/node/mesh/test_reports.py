"""Tests of what a target says of itself."""

import asyncio

import pytest
import pytest_asyncio
from mustardspur_node.mesh.reports import (
    MAX_REPORT_DELAY_S,
    ReportStore,
    TargetReport,
)

from tests.node.mesh.builders import target_report
from tests.support.virtual_time import in_virtual_time


@pytest_asyncio.fixture(name='reports')
async def make_reports() -> ReportStore:
    """Return a store with one report."""
    reports = ReportStore('10.0.0.5:9000')
    reports.accept(target_report())
    return reports


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
    reports: ReportStore,
    name: str,
    report: TargetReport,
) -> None:
    """Guards against late and false reports."""
    assert not reports.accept(report), name
    assert reports.current == target_report()


async def test_same_identity_starts_anew(reports: ReportStore) -> None:
    """Guards against a restarted target that counts as known."""
    assert reports.accept(target_report(born=2000, sequence=1))


async def test_left_target_stays_away(reports: ReportStore) -> None:
    """Guards against a late report that brings a target back."""
    assert reports.remove('t1')
    assert not reports.accept(target_report(sequence=9))
    assert reports.current is None
    assert reports.accept(target_report(born=2000, sequence=1))


@in_virtual_time
async def test_unknown_target_that_left_stays_away() -> None:
    """Guards against a late report that brings back a target whose leave
    came right after a restart of the node, which did not know it yet.
    """
    reports = ReportStore('10.0.0.5:9000')
    assert not reports.remove('t1')
    assert not reports.accept(target_report())
    assert reports.current is None
    assert reports.accept(target_report(id='t2'))
    await asyncio.sleep(MAX_REPORT_DELAY_S)
    assert reports.accept(target_report(born=2000))


@in_virtual_time
async def test_repeated_leave_does_not_delay_a_new_start() -> None:
    """Guards against a target that is refused after it has started anew."""
    reports = ReportStore('10.0.0.5:9000')
    reports.accept(target_report())
    assert reports.remove('t1')
    assert not reports.remove('t1')
    assert reports.accept(target_report(born=2000, sequence=1))


async def test_next_target_at_the_address(reports: ReportStore) -> None:
    """Guards against the leave of an old target that drops its successor."""
    reports.accept(
        target_report(id='t2', service='stamps', born=3000, sequence=1)
    )
    assert not reports.remove('t1')
    assert reports.current is not None
    assert reports.current.service == 'stamps'


async def test_heartbeat_changes_nothing(reports: ReportStore) -> None:
    """Guards against an announcement to all nodes at each heartbeat."""
    assert not reports.accept(target_report(sequence=5))
