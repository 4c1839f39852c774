"""Latency distributions as shares of histogram buckets."""

from typing import Any, Final

import numpy as np
from numpy import typing as npt

Cells = npt.NDArray[Any]
# Buckets from 1 ms to 1 s.
BUCKETS: Final = 41
BUCKETS_PER_OCTAVE: Final = 4
# Scale of the log-logistic distribution, in octaves.
SCALE_OCTAVES: Final = 0.35


def bucket_shares(medians_ms: Cells) -> Cells:
    """Return the bucket shares of each median latency, one per row."""
    edges = np.arange(1, BUCKETS) / BUCKETS_PER_OCTAVE
    scaled_distance = (
        np.subtract.outer(np.log2(medians_ms), edges) / SCALE_OCTAVES
    )
    below = np.reciprocal(1 + np.exp(scaled_distance))
    bounds = np.pad(below, ((0, 0), (1, 1)), constant_values=(0, 1))
    # Each row of the cumulative distribution starts at 0 and ends at 1.
    shares: Cells = np.diff(bounds, axis=1)
    return shares


def sparse(row: Cells) -> dict[int, int]:
    """Return the counts of the buckets that are not empty."""
    buckets = np.flatnonzero(row)
    return dict(zip(buckets.tolist(), row[buckets].tolist(), strict=True))
