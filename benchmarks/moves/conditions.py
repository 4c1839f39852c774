"""What happens to the mesh while a move goes on."""

from typing import Any, Final

import numpy as np
from numpy import typing as npt

# Parts of the move's time during which an event lasts.
SURGE_FROM, SURGE_TO = 0.3, 0.6
ISOLATED_FROM, ISOLATED_TO = 0.2, 0.6
LEADERLESS_FROM, LEADERLESS_TO = 0.2, 0.45
SURGE_FACTOR: Final = 2.5
LAG_S: Final = 8.0
USUAL_FAILURES: Final = 0.002
NOISY_FAILURES: Final = 0.01
BURST_FAILURES: Final = 0.1
BURST_CHANCE: Final = 0.02
BURST_S: Final = 5


class Conditions:
    """The event of a kind over a move's time.

    Parameters
    ----------
    event : str
        Name of the event, empty for none.
    """

    def __init__(self, event: str) -> None:
        """Start without a burst of failures."""
        self._event = event
        self._burst_left_s: list[int] = []

    def surge(self, part: float) -> float:
        """Return the factor on the calls at a part of the move's time."""
        surging = self._event == 'load surge'
        if surging and SURGE_FROM <= part < SURGE_TO:
            return SURGE_FACTOR
        return 1

    def is_isolated(self, part: float) -> bool:
        """Return whether the last data centre is cut off."""
        isolated = self._event == 'data centre isolated'
        return isolated and ISOLATED_FROM <= part < ISOLATED_TO

    def has_leader(self, part: float) -> bool:
        """Return whether there is a leader."""
        leaderless = LEADERLESS_FROM <= part < LEADERLESS_TO
        return not (self._event == 'leader lost' and leaderless)

    @property
    def lag_s(self) -> float:
        """Delay of the reports."""
        return LAG_S if self._event == 'lagging reports' else 0

    def failures(
        self,
        rng: np.random.Generator,
        centres: int,
    ) -> npt.NDArray[Any]:
        """Return the share of calls that fails anyway, by data centre."""
        if self._event != 'noise':
            return np.full(centres, USUAL_FAILURES)
        left_s = self._burst_left_s or [0 for _ in range(centres)]
        draws = rng.random(centres)
        self._burst_left_s = [
            BURST_S if draw < BURST_CHANCE else max(left - 1, 0)
            for draw, left in zip(draws, left_s, strict=True)
        ]
        bursting = np.array(self._burst_left_s) > 0
        return np.where(bursting, BURST_FAILURES, NOISY_FAILURES)
