"""Shares of the descriptors of a process, by what they are used for.

The descriptors that callers leave are those of the links to other processes
and to targets, of files, and of answers to callers that are refused. Without
them a process that is full of callers could serve none of them.
"""

import resource
from typing import Final

from mustardspur_core.settings.model import MeshSettings

# Used if there is no limit; more connections need more memory than a process
# is given.
_UNLIMITED: Final = 65_536
_RESERVED_DIVISOR: Final = 4
# Enough for the links of a small mesh and for files.
_LEAST_RESERVED: Final = 64
_CALLERS_DIVISOR: Final = 8
_UNIDENTIFIED_DIVISOR: Final = 8
_LEAST_UNIDENTIFIED: Final = 16
_CLIENTS_DIVISOR: Final = 32
_LEAST_CLIENTS: Final = 4
_REFUSED_DIVISOR: Final = 64
_LEAST_REFUSED: Final = 2


class _StatedLimit:
    """The limit of the settings, which like the kernel's is of the process."""

    __slots__ = ('descriptors',)

    def __init__(self) -> None:
        self.descriptors = _UNLIMITED


_stated: Final = _StatedLimit()


def apply_descriptor_limit(mesh: MeshSettings) -> None:
    """Apply the limit that the settings state, unless the kernel's is lower.

    Listeners take their shares when they are created.
    """
    stated = mesh.max_descriptors
    usable = max(stated - mesh.reserved_descriptors, stated // 2)
    _stated.descriptors = usable or _UNLIMITED


def descriptor_limit() -> int:
    """Return how many descriptors the process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return _stated.descriptors
    return min(limit, _stated.descriptors)


def max_callers(limit: int) -> int:
    """Return how many descriptors are for connections of callers."""
    reserved = max(limit // _RESERVED_DIVISOR, _LEAST_RESERVED)
    return max(limit - reserved, limit // _CALLERS_DIVISOR)


def max_clients(limit: int) -> int:
    """Return how many are for clients of one of the other HTTP interfaces."""
    return max(limit // _CLIENTS_DIVISOR, _LEAST_CLIENTS)


def max_unidentified(limit: int) -> int:
    """Return how many are for streams that have not said who opens them."""
    return max(limit // _UNIDENTIFIED_DIVISOR, _LEAST_UNIDENTIFIED)


def max_refused(limit: int) -> int:
    """Return how many are for connections that a listener refuses."""
    return max(limit // _REFUSED_DIVISOR, _LEAST_REFUSED)
