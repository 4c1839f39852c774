"""Tests of the comparison of versions at the same moments."""

import pytest
from mustardspur_control.mesh.comparison import MIN_OTHER_CALLS
from mustardspur_control.mesh.evaluation import evaluate
from mustardspur_control.mesh.evidence import (
    WINDOW_S,
    RunKey,
    RunTotals,
    Totals,
)
from mustardspur_control.mesh.strata import STRATUM_S, ServiceStrata
from mustardspur_moves.histogram import bucket_of

from tests.control.mesh.transfer_faults import Healthy
from tests.control.mesh.transfer_play import DURATION_S, TransferPlay
from tests.support.virtual_time import in_virtual_time

_OLD = RunKey('v1', 'drafts', 'n1')
_NEW = RunKey('v2', 'drafts', 'n2')


def _timed(runs: int) -> RunTotals:
    counts = RunTotals(runs, timed=runs, timed_ms=90.0 * runs)
    counts.latency_counts = {bucket_of(90): runs}
    return counts


class _Service:
    """A service of two versions whose counts are observed."""

    def __init__(self) -> None:
        """Initialise without runs."""
        self.totals: Totals = {_OLD: RunTotals(), _NEW: RunTotals()}
        self.strata = ServiceStrata('v2')
        self.now_s: float = 0
        self.strata.observe(self.now_s, self.totals, share=0)

    def run(
        self,
        share: float,
        old: tuple[int, int],
        new: tuple[int, int],
    ) -> None:
        """Add the runs of one stratum and those of them that failed."""
        self.totals = {
            key: RunTotals(
                runs=self.totals[key].runs + runs,
                failed=self.totals[key].failed + failed,
            )
            for key, (runs, failed) in ((_OLD, old), (_NEW, new))
        }
        self.now_s += STRATUM_S
        self.strata.observe(self.now_s, self.totals, share)

    @property
    def is_faulty(self) -> bool:
        """Whether the new version is rolled back."""
        return evaluate(self.totals, 'v2', self.strata.overall()).is_faulty


def test_failures_of_both_versions_are_no_fault() -> None:
    """The new version has most of its runs while both versions fail."""
    service = _Service()
    for _ in range(5):
        service.run(0.05, old=(200, 0), new=(10, 0))
    service.run(0.5, old=(100, 30), new=(100, 30))
    assert evaluate(service.totals, 'v2').is_faulty
    assert not service.is_faulty


def test_failures_above_those_of_others_are_found() -> None:
    """Failures of both versions must not hide a bad one."""
    service = _Service()
    for _ in range(5):
        service.run(0.05, old=(200, 0), new=(10, 0))
    service.run(0.5, old=(100, 10), new=(100, 50))
    assert service.is_faulty


def test_few_failures_more_are_no_fault() -> None:
    """A few runs may have four failures by chance while others fail."""
    service = _Service()
    service.run(0.05, old=(250, 25), new=(13, 4))
    assert not service.is_faulty


def test_time_without_other_versions_shows_nothing() -> None:
    """What fails at the full share may fail at any version."""
    service = _Service()
    service.run(0.5, old=(100, 0), new=(100, 0))
    for _ in range(5):
        service.run(1, old=(0, 0), new=(200, 100))
    assert not service.is_faulty


def test_route_without_others_is_judged_by_failures() -> None:
    """A route that no other version has had calls of is not left out."""
    service = _Service()
    service.run(0.5, old=(MIN_OTHER_CALLS - 1, 0), new=(100, 50))
    assert service.is_faulty


def test_recent_strata_exclude_old_ones() -> None:
    """A late fault must not be outweighed by the runs before it."""
    service = _Service()
    for _ in range(50):
        service.run(0.5, old=(100, 0), new=(100, 0))
    assert service.strata.overall()['drafts'].others.runs == 5000
    recent = service.strata.recent()['drafts']
    assert recent.others.runs == recent.new.runs == 100 * WINDOW_S / STRATUM_S


def test_latencies_before_the_first_run_count() -> None:
    """The first second has too few runs of others for a distribution."""
    strata = ServiceStrata('v2')
    strata.observe(0, {_OLD: _timed(0)}, 0)
    strata.observe(STRATUM_S, {_OLD: _timed(100)}, 0)
    counts = {_OLD: _timed(110), _NEW: _timed(10)}
    strata.observe(2 * STRATUM_S, counts, 0.05)
    expected = strata.overall()['drafts'].expected
    assert sum(expected.latency_counts.values()) == pytest.approx(110)


def test_few_calls_are_compared_over_a_longer_time() -> None:
    """A route whose strata are each too small is compared nevertheless."""
    service = _Service()
    for _ in range(3 * MIN_OTHER_CALLS):
        service.run(0.5, old=(MIN_OTHER_CALLS // 2, 0), new=(2, 1))
    assert service.is_faulty


@pytest.mark.parametrize(
    'damaged',
    [RunTotals(-500), RunTotals(20, 50), RunTotals(20, -5), RunTotals(3, 1)],
)
def test_damaged_counts_do_not_end_the_evaluation(damaged: RunTotals) -> None:
    """A report may hold any number, and a node may begin again."""
    service = _Service()
    service.run(0.5, old=(100, 0), new=(100, 0))
    service.totals[_NEW] = damaged
    service.run(0.5, old=(100, 0), new=(0, 0))
    service.run(0.5, old=(100, 0), new=(100, 0))
    assert not service.is_faulty


@pytest.mark.parametrize('progress', [0.5, 0.66, 0.7])
def test_slowness_of_both_versions(progress: float) -> None:
    """Calls that are slow at both versions do not roll a good one back."""
    play = TransferPlay(1, Healthy())
    play.slow_from_s = progress * DURATION_S
    in_virtual_time(play.run)()
    assert play.transfer.state == 'completed'
