"""Resident memory of the process."""

import resource
import sys

from mustardspur_core.units import BYTES_PER_KIB


def peak_resident_bytes() -> int:
    """Return the highest resident memory since the start, in bytes."""
    peak: int = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    # In KiB, but for macOS.
    return peak if sys.platform == 'darwin' else peak * BYTES_PER_KIB
