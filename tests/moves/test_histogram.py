"""Guards against latencies being counted in the wrong place."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mustardspur_moves.histogram import (
    bucket_of,
    bucket_of_top,
    count_from,
    lower_bound_ms,
    quantile_ms,
)


@given(st.floats(0.125, 600_000))
def test_bucket_holds_its_latency(latency_ms: float) -> None:
    """Guards against a bound that lies above the latency or far below it."""
    bound_ms = lower_bound_ms(bucket_of(latency_ms))
    assert bound_ms <= latency_ms * (1 + 1e-9)
    assert latency_ms < bound_ms * 1.19


@pytest.mark.parametrize('latency_ms', [-1, 0, 1e12, float('inf')])
def test_latencies_out_of_range_are_counted(latency_ms: float) -> None:
    """Guards against a clock step that raises in the path of a call."""
    assert -20 < bucket_of(latency_ms) < 100


@given(st.dictionaries(st.integers(-9, 60), st.integers(1, 50), min_size=1))
def test_top_bucket_keeps_its_share(counts: dict[int, int]) -> None:
    """Guards against a bound of slow calls that most calls exceed."""
    bucket = bucket_of_top(counts, 0.15)
    total = sum(counts.values())
    assert count_from(counts, bucket) <= 0.15 * total
    below = max((place for place in counts if place < bucket), default=None)
    if below is not None:
        assert count_from(counts, below) > 0.15 * total


def test_quantile_is_the_bucket_of_that_call() -> None:
    """Guards against a quantile that is off by a bucket."""
    assert quantile_ms({0: 9, 8: 1}, 0.5) == 1
    assert quantile_ms({0: 9, 8: 1}, 0.95) == 4
