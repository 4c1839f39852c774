"""Tests of the reports of a target about itself."""

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
async def test_report_is_ignored(
    reports: ReportStore,
    name: str,
    report: TargetReport,
) -> None:
    """Guards against outdated and invalid reports."""
    assert not reports.accept(report), name
    assert reports.current == target_report()


async def test_restarted_target_is_accepted(reports: ReportStore) -> None:
    """Guards against ignoring a restarted target as already known."""
    assert reports.accept(target_report(born=2000, sequence=1))


async def test_removed_target_is_not_restored(reports: ReportStore) -> None:
    """Guards against a late report that restores a removed target."""
    assert reports.remove('t1')
    assert not reports.accept(target_report(sequence=9))
    assert reports.current is None
    assert reports.accept(target_report(born=2000, sequence=1))


@in_virtual_time
async def test_removed_unknown_target_is_not_restored() -> None:
    """Guards against a late report that restores a target which was removed
    just after a restart of the node, before the node knew the target.
    """
    reports = ReportStore('10.0.0.5:9000')
    assert not reports.remove('t1')
    assert not reports.accept(target_report())
    assert reports.current is None
    assert reports.accept(target_report(id='t2'))
    await asyncio.sleep(MAX_REPORT_DELAY_S)
    assert reports.accept(target_report(born=2000))


@in_virtual_time
async def test_repeated_removal_does_not_block_restart() -> None:
    """Guards against ignoring a target that restarted after removal."""
    reports = ReportStore('10.0.0.5:9000')
    reports.accept(target_report())
    assert reports.remove('t1')
    assert not reports.remove('t1')
    assert reports.accept(target_report(born=2000, sequence=1))


async def test_removal_keeps_the_next_target(reports: ReportStore) -> None:
    """Guards against removing the successor with a late removal."""
    reports.accept(
        target_report(id='t2', service='stamps', born=3000, sequence=1)
    )
    assert not reports.remove('t1')
    assert reports.current is not None
    assert reports.current.service == 'stamps'


async def test_heartbeat_changes_nothing(reports: ReportStore) -> None:
    """Guards against announcements to all nodes on each heartbeat."""
    assert not reports.accept(target_report(sequence=5))
