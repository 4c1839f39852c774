"""Seeded plan of a soak: which fault starts when, where and for how long."""

import random
from typing import Final

from mustardspur_core.record import Record

# Length of a pause, an interruption or the time between stop and start.
MIN_LENGTH_S: Final = 0.1
MAX_LENGTH_S: Final = 3.0


class PlannedFault(Record):
    """One fault of a plan.

    Parameters
    ----------
    kind : str
        Name of a fault.
    at_s : float
        Time after the start of the faults.
    length_s : float
        How long it lasts, where it does.
    pick : float
        Position of the place among the possible ones, from 0 to 1.
    """

    __slots__ = ('kind', 'at_s', 'length_s', 'pick')
    kind: str
    at_s: float
    length_s: float
    pick: float

    def choose(self, places: tuple[str, ...]) -> str:
        """Return the place of the fault."""
        return places[int(self.pick * len(places))]


def plan(
    seed: int | str,
    kinds: list[str],
    length_s: float,
    rate_per_s: float,
) -> list[PlannedFault]:
    """Return the faults of a seed, in the order of their start.

    Faults come in series and overlap.
    """
    source = random.Random(seed)
    planned = [
        PlannedFault(
            kind=source.choice(kinds),
            at_s=source.uniform(0, length_s),
            length_s=source.uniform(MIN_LENGTH_S, MAX_LENGTH_S),
            pick=source.random(),
        )
        for _ in range(int(length_s * rate_per_s))
    ]
    return sorted(planned, key=lambda each: each.at_s)
