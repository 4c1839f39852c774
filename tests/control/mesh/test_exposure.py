"""Tests of the calls that a bad version gets before it is rolled back."""

import pytest

from benchmarks.transfers.faults import (
    FailingPart,
    Fault,
    Healthy,
    SlowPart,
    SlowTarget,
)
from benchmarks.transfers.loads import BURST, DURATION_S, USUAL, Load
from benchmarks.transfers.play import TransferPlay
from benchmarks.transfers.service import Service
from tests.support.virtual_time import in_virtual_time

SEEDS = range(1, 6)


def _plays(fault: Fault, load: Load = USUAL) -> list[TransferPlay]:
    plays = [TransferPlay(Service(seed, fault, load)) for seed in SEEDS]
    for play in plays:
        in_virtual_time(play.run)()
    return plays


@pytest.mark.parametrize(('part', 'factor'), [(0.5, 8), (0.3, 8), (0.5, 5)])
def test_slow_version_whose_calls_time_out(part: float, factor: float) -> None:
    """Evidence without the slowest calls must not hide a slow version."""
    plays = _plays(SlowPart(part, factor))
    assert {play.state for play in plays} == {'rolled_back'}
    assert all(play.service.new_calls <= play.max_new_calls for play in plays)


@pytest.mark.parametrize('part', [0.35, 0.5])
@pytest.mark.parametrize('progress', [0.3, 0.45, 0.55, 0.63, 0.7])
def test_version_that_turns_bad_late(progress: float, part: float) -> None:
    """The calls before a late fault must leave some for its detection."""
    fault = FailingPart(part, from_s=progress * DURATION_S)
    plays = _plays(fault)
    assert {play.state for play in plays} == {'rolled_back'}
    assert all(play.service.new_calls <= play.max_new_calls for play in plays)


@pytest.mark.parametrize('fault', [Healthy(), SlowTarget()])
@pytest.mark.parametrize('load', [USUAL, BURST])
def test_good_version_is_completed(load: Load, fault: Fault) -> None:
    """Targets of the old version stop at once when a transfer completes."""
    plays = _plays(fault, load)
    assert {play.state for play in plays} == {'completed'}
    assert all(play.log.ended_s < DURATION_S for play in plays)
    assert not any(play.service.old_in_flight for play in plays)


def test_lost_reports_do_not_hide_a_bad_version() -> None:
    """The share is not raised while the leader learns of no runs."""
    play = TransferPlay(Service(1, FailingPart(0.5, from_s=8), USUAL))
    play.reports.until_s = 8
    in_virtual_time(play.run)()
    assert play.state != 'completed'
    assert play.service.new_calls <= play.max_new_calls


@pytest.mark.parametrize('progress', [0.5, 0.66, 0.77])
def test_failures_of_both_versions_at_any_share(progress: float) -> None:
    """A good version has no other one to compare with at the full share."""
    play = TransferPlay(Service(1, Healthy(), USUAL))
    play.service.failing_from_s = progress * DURATION_S
    in_virtual_time(play.run)()
    assert play.state == 'completed'
