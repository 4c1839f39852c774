"""Tests of the comparison of run times by the means of targets."""

from typing import Final

import pytest

from benchmarks.transfers.target_means import (
    MAX_ERRORS,
    TargetMean,
    slowdown_errors,
    target_means,
)

_OCTAVES: Final = (6.2, 6.4, 6.5, 6.6, 6.8)


def _means(*octaves: float) -> list[TargetMean]:
    """Return targets with 50 runs each, whose standard deviation is 1."""
    return sorted(TargetMean(each, 50, 49) for each in octaves)


def _slower(octaves: float) -> list[TargetMean]:
    return _means(*(each + octaves for each in _OCTAVES))


def test_run_times_are_counted_by_octaves() -> None:
    """Guards against buckets that are taken for octaves."""
    means = target_means([{24: 2, 28: 2}, {24: 3, 28: 3}])
    assert means == [TargetMean(6.5, 6, 1.5)]


def test_version_that_is_three_times_slower_is_slow() -> None:
    """Guards against slow versions that are taken for slow targets."""
    assert slowdown_errors(_means(*_OCTAVES), _slower(1.6)) > MAX_ERRORS


@pytest.mark.parametrize(
    'new',
    [
        _slower(0.3),
        # One slow target.
        _means(6.2, 6.4, 6.5, 6.6, 9.1),
        # Too few targets.
        _means(9, 9),
    ],
)
def test_good_version_is_not_slow(new: list[TargetMean]) -> None:
    """Guards against versions that are taken back for a slow target."""
    assert slowdown_errors(_means(*_OCTAVES), new) == 0
