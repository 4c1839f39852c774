"""Tests of the test for versions that are slow for part of their calls."""

from collections.abc import Iterable

from mustardspur_control.mesh.slowdown import (
    MIN_REFERENCE_RUNS,
    slowdown_log_ratio,
)
from mustardspur_moves.histogram import bucket_of

_HEALTHY_MS = (60, 90, 90)
_HALF_SLOW_MS = (60, 90, 480, 720)


def _runs(latencies_ms: Iterable[float], times: int = 1) -> dict[int, int]:
    histogram: dict[int, int] = {}
    for latency_ms in latencies_ms:
        bucket = bucket_of(latency_ms)
        histogram[bucket] = histogram.get(bucket, 0) + times
    return histogram


def test_slow_part_at_all_targets_is_found() -> None:
    """Half of the runs at each target take eight times as long."""
    by_target = [_runs(_HALF_SLOW_MS) for _ in range(4)]
    assert slowdown_log_ratio(_runs(_HEALTHY_MS, 99), by_target) > 6


def test_speeds_of_targets_are_no_slow_version() -> None:
    """All runs of a slow target are slow, whatever its version is."""
    by_target = [
        _runs((speed * run_ms for run_ms in _HEALTHY_MS), 4)
        for speed in (0.5, 0.7, 1, 1.4, 2, 2.5)
    ]
    assert slowdown_log_ratio(_runs(_HEALTHY_MS, 99), by_target) < 1


def test_one_slow_target_is_no_slow_version() -> None:
    """A single target may have become slow by a fault of its own."""
    by_target = [_runs(_HEALTHY_MS) for _ in range(6)]
    by_target.append(_runs(_HALF_SLOW_MS, 9))
    assert slowdown_log_ratio(_runs(_HEALTHY_MS, 99), by_target) < 1


def test_few_runs_of_other_versions_show_nothing() -> None:
    """The distribution of a few runs is not known well enough."""
    reference = {bucket_of(90): MIN_REFERENCE_RUNS - 1}
    by_target = [_runs(_HALF_SLOW_MS, 9) for _ in range(4)]
    assert not slowdown_log_ratio(reference, by_target)
    assert not slowdown_log_ratio(_runs(_HEALTHY_MS, 99), [{}])
