"""Guards against latencies that are counted in the wrong bucket."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_moves.histogram import (
    bucket_of,
    count_from,
    lower_bound_ms,
    quantile_ms,
    top_share_bucket,
)


@given(st.floats(0.125, 600_000))
def test_lower_bound_is_close_to_latency(latency_ms: float) -> None:
    """Guards against a bound that is above the latency or far below it."""
    bound_ms = lower_bound_ms(bucket_of(latency_ms))
    assert bound_ms <= latency_ms * (1 + 1e-9)
    assert latency_ms < bound_ms * 1.19


@pytest.mark.parametrize('latency_ms', [-1, 0, 1e12, float('inf')])
def test_latencies_out_of_range_are_counted(latency_ms: float) -> None:
    """Guards against an exception in a call after a clock step."""
    assert -20 < bucket_of(latency_ms) < 100


@given(st.dictionaries(st.integers(-9, 60), st.integers(1, 50), min_size=1))
def test_top_share_bucket_is_the_lowest(counts: dict[int, int]) -> None:
    """Guards against a bound for slow calls that is too low or too high."""
    bucket = top_share_bucket(counts, 0.15)
    total = sum(counts.values())
    assert count_from(counts, bucket) <= 0.15 * total
    below = max((other for other in counts if other < bucket), default=None)
    if below is not None:
        assert count_from(counts, below) > 0.15 * total


def test_quantile_is_the_bucket_of_that_call() -> None:
    """Guards against a quantile that is off by one bucket."""
    assert quantile_ms({0: 9, 8: 1}, 0.5) == 1
    assert quantile_ms({0: 9, 8: 1}, 0.95) == 4
