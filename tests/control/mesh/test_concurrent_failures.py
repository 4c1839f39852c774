"""Tests of the failures that the runs of other versions let expect."""

import pytest
from mustardspur_control.mesh.concurrent_failures import (
    MIN_RUNS_SINCE_LAST,
    ConcurrentFailures,
)
from mustardspur_control.mesh.evidence import (
    WINDOW_S,
    RunKey,
    RunTotals,
    Totals,
)

_STEP_S = 0.5


def _totals(runs: int, other_runs: int, other_failed: int) -> Totals:
    return {
        RunKey('v1', 'drafts', 'n1'): RunTotals(other_runs, other_failed),
        RunKey('v2', 'drafts', 'n2'): RunTotals(runs),
    }


def _observed(*counts: tuple[int, int, int]) -> ConcurrentFailures:
    concurrent = ConcurrentFailures('v2')
    for number, row in enumerate(counts):
        concurrent.observe(number * _STEP_S, _totals(*row))
    return concurrent


def test_runs_before_a_disruption_are_left_out() -> None:
    """Guards against sums in which the others ran before a disruption."""
    concurrent = _observed((0, 0, 0), (10, 1000, 0), (110, 1100, 30))
    assert concurrent.overall()['drafts'] == pytest.approx(110 * 0.3)


def test_failures_stay_expected_after_a_disruption() -> None:
    """Guards against a rate of the last moment only."""
    concurrent = _observed((0, 0, 0), (100, 100, 30), (110, 1100, 30))
    assert concurrent.overall()['drafts'] == pytest.approx(30)


def test_rate_is_kept_while_few_others_run() -> None:
    """Guards against a rate of a few runs, or none once the others end."""
    few = MIN_RUNS_SINCE_LAST - 1
    latest = (100 + few, 20 + few)
    concurrent = _observed(
        (0, 0, 0), (0, 100, 20), (99, *latest), (200, *latest)
    )
    rate = (20 + few) / (100 + few)
    assert concurrent.overall()['drafts'] == pytest.approx(200 * rate)


def test_rate_of_a_former_disruption_is_not_kept() -> None:
    """Guards against a version whose failures count as those of a disruption
    that was over long before, as few others have run since then.
    """
    concurrent = ConcurrentFailures('v2')
    concurrent.observe(0, _totals(0, 0, 0))
    concurrent.observe(_STEP_S, _totals(100, 10, 4))
    concurrent.observe(_STEP_S + WINDOW_S, _totals(200, 12, 4))
    before = concurrent.overall()['drafts']
    concurrent.observe(2 * _STEP_S + WINDOW_S, _totals(300, 13, 4))
    assert before == pytest.approx(200 * 0.4)
    assert concurrent.overall()['drafts'] == pytest.approx(before)


def test_runs_before_the_first_moment_imply_nothing() -> None:
    """A new leader does not know at which moments they ran."""
    concurrent = _observed((500, 1000, 300))
    assert concurrent.overall()['drafts'] == 0


def test_recent_failures_are_those_of_the_window() -> None:
    """Failures that are expected in the window do not include earlier ones."""
    steps = round(2 * WINDOW_S / _STEP_S)
    concurrent = _observed(
        *((10 * step, 100 * step, 50 * step) for step in range(steps + 1))
    )
    assert concurrent.overall()['drafts'] == pytest.approx(10 * steps * 0.5)
    assert concurrent.recent()['drafts'] == pytest.approx(
        10 * WINDOW_S / _STEP_S * 0.5
    )


def test_smaller_counts_imply_no_negative_failures() -> None:
    """A report that replaces a damaged one may lower the sums."""
    concurrent = _observed((0, 0, 0), (100, 100, 50), (10, 200, 60))
    assert concurrent.overall()['drafts'] == pytest.approx(50)
