"""Admission of connecting nodes."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.messages import Busy
from mustardspur_core.units import MS_PER_S

# Handshakes that run at a time. Each may encode and send full copies of a
# node's services; more at a time only delay each other and the heartbeats of
# the nodes that are connected already.
MAX_HANDSHAKES: Final = 32
# Refused nodes spread over this range, which grows with the refusals since
# the last admission that found a free place at once.
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 1.0
# Delays grow to at most this, so that a restart of all control instances is
# over within the 14 s of the design size.
LONGEST_RETRY_S: Final = 4.0
REFUSALS_PER_STEP: Final = 128


class Admission:
    """Bounds the handshakes that run at a time.

    Parameters
    ----------
    choice : random.Random
        Source of the jitter.
    """

    __slots__ = ('_choice', '_refused', 'peak', 'running')

    def __init__(self, choice: random.Random) -> None:
        """Start with all places free."""
        self._choice = choice
        self._refused = 0
        self.running = 0
        self.peak = 0

    def refusal(self) -> Busy | None:
        """Return the answer to a node that has to wait, None if not."""
        if self.running < MAX_HANDSHAKES:
            if self.running < MAX_HANDSHAKES // 2:
                self._refused = 0
            return None
        self._refused += 1
        longest_s = min(
            LONGEST_RETRY_S,
            MAX_RETRY_S * (1 + self._refused / REFUSALS_PER_STEP),
        )
        retry_s = self._choice.uniform(MIN_RETRY_S, longest_s)
        return Busy(retry_after_ms=round(retry_s * MS_PER_S))

    @contextmanager
    def handshake(self) -> Iterator[None]:
        """Take a place for the length of a block."""
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            yield
        finally:
            self.running -= 1
