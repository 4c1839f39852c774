"""Log-scale latency histogram with sparse counts."""

import math
from collections.abc import Mapping
from typing import Final

# Four buckets an octave: a boundary lies within 19% of every latency, which
# shows a slowdown by half, and a report carries few distinct buckets.
BUCKETS_PER_OCTAVE: Final = 4
MIN_LATENCY_MS: Final = 0.125
MAX_LATENCY_MS: Final = 600_000


def bucket_of(latency_ms: float) -> int:
    """Return the number of the bucket that holds a latency.

    Parameters
    ----------
    latency_ms : float
        Latency in milliseconds; values out of range count at the ends.

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
    """Return how many latencies lie in a bucket or above it."""
    return sum(count for place, count in counts.items() if place >= bucket)


def bucket_of_top(counts: Mapping[int, int], share: float) -> int:
    """Return the lowest bucket from which at most a share of calls lies.

    Parameters
    ----------
    counts : mapping of int
        Count by bucket.
    share : float
        Largest share of all counts in the result and above.

    Returns
    -------
    int
        A bucket above the highest one if that alone holds too many.
    """
    places = sorted(counts, reverse=True)
    if not places:
        return 0
    allowed = share * sum(counts.values())
    lowest = places[0] + 1
    for place in places:
        allowed -= counts[place]
        if allowed < 0:
            break
        lowest = place
    return lowest


def quantile_ms(counts: Mapping[int, int], quantile: float) -> float:
    """Return the lower bound of the bucket that holds a quantile."""
    rest = quantile * sum(counts.values())
    for bucket in sorted(counts):
        rest -= counts[bucket]
        if rest <= 0:
            return lower_bound_ms(bucket)
    return 0
