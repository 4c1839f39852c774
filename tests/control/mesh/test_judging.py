"""Tests of the judgement of versions and of their schedule."""

import pytest
from mustardspur_control.mesh.evidence import Counts
from mustardspur_control.mesh.judging import judge
from mustardspur_control.mesh.schedule import COMPLETE_AT, planned_share

_OLD: Counts = (1000, 4, 1000, 60_000.0)


@pytest.mark.parametrize(
    ('name', 'new', 'is_bad'),
    [
        ('as good as the old one', (100, 1, 100, 6000.0), False),
        ('half of the calls fail', (20, 10, 10, 600.0), True),
        ('three failures can be chance', (6, 3, 3, 180.0), False),
        ('three times as slow', (60, 0, 60, 11_000.0), True),
        ('twice as slow on a slow target', (60, 0, 60, 7200.0), False),
        ('too few timed runs', (10, 0, 10, 6000.0), False),
        ('nothing answered yet', (0, 0, 0, 0), False),
    ],
)
def test_verdict(name: str, new: Counts, is_bad: bool) -> None:
    """Guards against good versions rolled back and bad ones kept."""
    totals = {('v1', 'drafts'): _OLD, ('v2', 'drafts'): new}
    assert judge(totals, 'v2').bad is is_bad, name


def test_fault_on_one_route_is_found() -> None:
    """Guards against a bad route that good ones outweigh."""
    totals = {
        ('v1', 'drafts'): _OLD,
        ('v1', 'filings'): _OLD,
        ('v2', 'drafts'): (2000, 8, 2000, 120_000.0),
        ('v2', 'filings'): (20, 8, 12, 720.0),
    }
    verdict = judge(totals, 'v2')
    assert verdict.bad
    assert verdict.reason.startswith('filings')


def test_failures_of_all_versions_are_no_verdict() -> None:
    """Guards against a rollback for a fault that the old version shares."""
    totals = {
        ('v1', 'drafts'): (100, 30, 70, 4200.0),
        ('v2', 'drafts'): (40, 12, 28, 1680.0),
    }
    assert not judge(totals, 'v2').bad


def test_new_route_alone_is_no_verdict() -> None:
    """Guards against a rollback for a route that fails at any version."""
    totals = {
        ('v1', 'drafts'): _OLD,
        ('v2', 'drafts'): (400, 2, 400, 24_000.0),
        ('v2', 'added'): (4, 4, 0, 0),
    }
    assert not judge(totals, 'v2').bad


def test_share_waits_for_answers() -> None:
    """Guards against a step up on a version that has answered nothing."""
    assert planned_share(0.7, 0, 0.1) == planned_share(0, 0, 0.1)
    assert planned_share(0.7, 1000, 0.1) == pytest.approx(1)


def test_whole_share_comes_before_the_end() -> None:
    """Guards against a good version that is in too late."""
    assert planned_share(COMPLETE_AT - 0.1, 1000, 0.1) == pytest.approx(1)
    assert COMPLETE_AT < 1


@pytest.mark.parametrize('exposure_share', [0.02, 0.1, 0.3])
def test_first_share_stays_below_the_exposure(exposure_share: float) -> None:
    """Guards against a bad version that gets more calls than it may."""
    assert planned_share(0.39, 1000, exposure_share) < exposure_share
