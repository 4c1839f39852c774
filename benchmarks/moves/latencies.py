"""Latency distributions as shares of the histogram's buckets."""

from typing import Any, Final

import numpy as np
from numpy import typing as npt

Cells = npt.NDArray[Any]
# Buckets from 1 ms to 1 s.
BUCKETS: Final = 41
BUCKETS_PER_OCTAVE: Final = 4
# Scale of the log-logistic distribution, in octaves.
SCALE: Final = 0.35


def bucket_shares(medians_ms: Cells) -> Cells:
    """Return one row of bucket shares for each median."""
    edges = np.arange(1, BUCKETS) / BUCKETS_PER_OCTAVE
    spread = np.subtract.outer(np.log2(medians_ms), edges) / SCALE
    below = np.reciprocal(1 + np.exp(spread))
    bounds = np.pad(below, ((0, 0), (1, 1)), constant_values=(0, 1))
    # The pad writes 0 in front of and 1 behind each row of the distribution.
    shares: Cells = np.diff(bounds, axis=1)
    return shares


def sparse(row: Cells) -> dict[int, int]:
    """Return the counts of the buckets that have any."""
    buckets = np.flatnonzero(row)
    return dict(zip(buckets.tolist(), row[buckets].tolist(), strict=True))
