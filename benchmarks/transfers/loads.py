"""Loads of a service during a transfer."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from mustardspur_core.record import Record

# Duration of a transfer.
DURATION_S: Final = 16.0
# Start and end of the changed load, since the order of the transfer.
LOADED_S: Final = (5.0, 13.0)
# Rate of calls to the new version, as a part of the usual rate, from which on
# faults under load appear.
FAULTY_RATE: Final = 0.8
# A target refuses calls beyond this multiple of its slots.
MAX_OVERLOAD: Final = 2


class Load(Record):
    """Rates of calls, and the calls that a target runs at its usual speed.

    Parameters
    ----------
    usual, loaded : float
        Factors on the usual rate of calls outside and within `LOADED_S`.
    slots : int
        Calls that a target runs at its usual speed, 0 for any number. It
        slows down in proportion to further ones.
    """

    __slots__ = ('usual', 'loaded', 'slots')
    usual: float
    loaded: float
    slots: int

    def factor(self, at_s: float) -> float:
        """Return the factor on the rate at a time since the order."""
        is_loaded = LOADED_S[0] < at_s < LOADED_S[1]
        return self.loaded if is_loaded else self.usual

    def slowdown(self, in_flight: int) -> float:
        """Return the factor on the time of a run beside others."""
        return max(1, in_flight / self.slots) if self.slots else 1

    def is_full(self, in_flight: int) -> bool:
        """Return whether a target refuses a call beside others."""
        return bool(self.slots) and in_flight >= MAX_OVERLOAD * self.slots


USUAL: Final = Load(usual=1, loaded=1, slots=0)
BURST: Final = Load(usual=1, loaded=2, slots=0)
LOADS: Final[Mapping[str, Load]] = MappingProxyType(
    {
        'calm': Load(usual=0.3, loaded=0.3, slots=0),
        'usual': USUAL,
        'burst': BURST,
        'overloaded': Load(usual=1, loaded=2, slots=8),
    },
)
