"""Tests of the evaluation of versions and of the schedule of shares."""

import pytest
from mustardspur_control.mesh.evaluation import evaluate
from mustardspur_control.mesh.evidence import RunKey, RunTotals
from mustardspur_control.mesh.schedule import COMPLETION_PROGRESS, planned_share

_OLD = RunTotals(1000, 4, 1000, 60_000.0)


@pytest.mark.parametrize(
    ('name', 'new', 'is_faulty'),
    [
        ('same failure rate and latency', (100, 1, 100, 6000.0), False),
        ('half of the calls fail', (20, 10, 10, 600.0), True),
        ('too few failures', (6, 3, 3, 180.0), False),
        ('three times as slow', (60, 0, 60, 11_000.0), True),
        ('latency within the spread of targets', (60, 0, 60, 7200.0), False),
        ('too few timed runs', (10, 0, 10, 6000.0), False),
        ('no answered calls', (0, 0, 0, 0), False),
    ],
)
def test_verdict(
    name: str, new: tuple[int, int, int, float], is_faulty: bool
) -> None:
    """A faulty version is detected, a healthy one is not rolled back."""
    totals = {
        RunKey('v1', 'drafts', 'n1'): _OLD,
        RunKey('v2', 'drafts', 'n1'): RunTotals(*new),
    }
    assert evaluate(totals, 'v2').is_faulty is is_faulty, name


def test_fault_on_one_route_is_found() -> None:
    """A faulty route is not outweighed by the healthy ones."""
    totals = {
        RunKey('v1', 'drafts', 'n1'): _OLD,
        RunKey('v1', 'filings', 'n1'): _OLD,
        RunKey('v2', 'drafts', 'n1'): RunTotals(2000, 8, 2000, 120_000.0),
        RunKey('v2', 'filings', 'n1'): RunTotals(20, 8, 12, 720.0),
    }
    verdict = evaluate(totals, 'v2')
    assert verdict.is_faulty
    assert verdict.reason.startswith('filings')


def test_failures_of_all_versions_are_no_fault() -> None:
    """A failure rate that the old version shares causes no rollback."""
    totals = {
        RunKey('v1', 'drafts', 'n1'): RunTotals(100, 30, 70, 4200.0),
        RunKey('v2', 'drafts', 'n1'): RunTotals(40, 12, 28, 1680.0),
    }
    assert not evaluate(totals, 'v2').is_faulty


def test_few_failures_of_a_new_route_are_no_fault() -> None:
    """A new route that may fail at any version causes no rollback."""
    totals = {
        RunKey('v1', 'drafts', 'n1'): _OLD,
        RunKey('v2', 'drafts', 'n1'): RunTotals(400, 2, 400, 24_000.0),
        RunKey('v2', 'added', 'n1'): RunTotals(4, 4, 0, 0),
    }
    assert not evaluate(totals, 'v2').is_faulty


def test_share_is_not_raised_without_answered_calls() -> None:
    """The share stays at its initial value until calls are answered."""
    assert planned_share(0.7, 0, 0.1) == planned_share(0, 0, 0.1)
    assert planned_share(0.7, 1000, 0.1) == pytest.approx(1)


def test_full_share_is_reached_before_completion() -> None:
    """A healthy version has all calls before the duration has elapsed."""
    assert planned_share(COMPLETION_PROGRESS - 0.1, 1000, 0.1) == pytest.approx(
        1
    )
    assert COMPLETION_PROGRESS < 1


@pytest.mark.parametrize('exposure_share', [0.02, 0.1, 0.3])
def test_first_share_is_below_exposure_share(exposure_share: float) -> None:
    """A faulty version receives fewer calls than the exposure share."""
    assert planned_share(0.39, 1000, exposure_share) < exposure_share
