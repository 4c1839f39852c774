"""Events in the mesh during a move."""

from typing import Any, Final

import numpy as np
from numpy import typing as npt

# Start and end of each event, as fractions of the length of the move.
SURGE_START, SURGE_END = 0.3, 0.6
ISOLATED_START, ISOLATED_END = 0.2, 0.6
LEADERLESS_START, LEADERLESS_END = 0.2, 0.45
SURGE_FACTOR: Final = 2.5
LAG_S: Final = 8.0
BASE_FAILURE_SHARE: Final = 0.002
NOISY_FAILURE_SHARE: Final = 0.01
BURST_FAILURE_SHARE: Final = 0.1
BURST_PROBABILITY: Final = 0.02
BURST_S: Final = 5


class Conditions:
    """The event of a kind of move and its effects over time.

    Parameters
    ----------
    event : str
        Name of the event, empty for no event.
    """

    def __init__(self, event: str) -> None:
        """Initialise without a burst of failures."""
        self._event = event
        self._burst_remaining_s: list[int] = []

    def surge(self, fraction: float) -> float:
        """Return the factor on the call rate at a fraction of the move."""
        surging = self._event == 'load surge'
        if surging and SURGE_START <= fraction < SURGE_END:
            return SURGE_FACTOR
        return 1

    def is_isolated(self, fraction: float) -> bool:
        """Return whether the last data centre is unreachable."""
        isolated = self._event == 'data centre isolated'
        return isolated and ISOLATED_START <= fraction < ISOLATED_END

    def has_leader(self, fraction: float) -> bool:
        """Return whether the control instances have a leader."""
        leaderless = LEADERLESS_START <= fraction < LEADERLESS_END
        return not (self._event == 'leader lost' and leaderless)

    @property
    def lag_s(self) -> float:
        """Delay of the reports, in seconds."""
        return LAG_S if self._event == 'lagging reports' else 0

    def failure_shares(
        self,
        rng: np.random.Generator,
        data_centres: int,
    ) -> npt.NDArray[Any]:
        """Return the share of calls that fail in any version, by data centre.

        Each call of this method advances the bursts by one second.
        """
        if self._event != 'noise':
            return np.full(data_centres, BASE_FAILURE_SHARE)
        remaining_s = self._burst_remaining_s or [
            0 for _ in range(data_centres)
        ]
        draws = rng.random(data_centres)
        self._burst_remaining_s = [
            BURST_S if draw < BURST_PROBABILITY else max(remaining - 1, 0)
            for draw, remaining in zip(draws, remaining_s, strict=True)
        ]
        bursting = np.array(self._burst_remaining_s) > 0
        return np.where(bursting, BURST_FAILURE_SHARE, NOISY_FAILURE_SHARE)
