"""Log-scale latency histogram with sparse counts."""

import math
from collections.abc import Mapping
from typing import Final

# With four buckets per octave, the lower bound of a bucket is within 19% of
# every latency in it. This reveals a slowdown by half, and a report has few
# distinct buckets.
BUCKETS_PER_OCTAVE: Final = 4
MIN_LATENCY_MS: Final = 0.125
MAX_LATENCY_MS: Final = 600_000


def bucket_of(latency_ms: float) -> int:
    """Return the number of the bucket that holds a latency.

    Parameters
    ----------
    latency_ms : float
        Latency in milliseconds; values out of range are clamped.

    Examples
    ========

    >>> bucket_of(1), bucket_of(2)
    (0, 4)
    """
    bounded = min(max(latency_ms, MIN_LATENCY_MS), MAX_LATENCY_MS)
    return math.floor(BUCKETS_PER_OCTAVE * math.log2(bounded))


def lower_bound_ms(bucket: int) -> float:
    """Return the smallest latency of a bucket in milliseconds."""
    return float(2 ** (bucket / BUCKETS_PER_OCTAVE))


def add_counts(total: dict[int, int], counts: Mapping[int, int]) -> None:
    """Add the counts of one histogram to another, in place."""
    for bucket, count in counts.items():
        total[bucket] = total.get(bucket, 0) + count


def count_from(counts: Mapping[int, int], bucket: int) -> int:
    """Return the number of latencies in a bucket and in those above it."""
    return sum(count for other, count in counts.items() if other >= bucket)


def top_share_bucket(counts: Mapping[int, int], share: float) -> int:
    """Return the lowest bucket that starts at most a share of the counts.

    Parameters
    ----------
    counts : mapping of int
        Count by bucket.
    share : float
        Largest share of all counts in the returned bucket and above.

    Returns
    -------
    int
        One above the highest bucket if that alone exceeds the share, 0 if
        there are no counts.
    """
    buckets = sorted(counts, reverse=True)
    if not buckets:
        return 0
    allowed = share * sum(counts.values())
    lowest = buckets[0] + 1
    for bucket in buckets:
        allowed -= counts[bucket]
        if allowed < 0:
            break
        lowest = bucket
    return lowest


def quantile_ms(counts: Mapping[int, int], quantile: float) -> float:
    """Return the lower bound of the bucket of a quantile, 0 without counts."""
    remaining = quantile * sum(counts.values())
    for bucket in sorted(counts):
        remaining -= counts[bucket]
        if remaining <= 0:
            return lower_bound_ms(bucket)
    return 0
