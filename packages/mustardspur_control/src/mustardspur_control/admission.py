"""Admission of connecting nodes, which limits concurrent handshakes."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.messages import Busy
from mustardspur_core.units import MS_PER_S

# Each handshake may encode and send full copies of a node's services. More
# concurrent ones only delay each other and the heartbeats of the nodes that
# are already connected.
MAX_HANDSHAKES: Final = 32
# Retry delays of refused nodes are drawn from this range. Its upper end grows
# with the number of refusals, which is reset when less than half of the
# handshakes are in use.
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 1.0
# Upper limit of the range, so that all nodes are connected within 14 s of a
# restart of all control instances, at the size the system is designed for.
RETRY_LIMIT_S: Final = 4.0
REFUSALS_PER_STEP: Final = 128


class Admission:
    """Limits the number of concurrent handshakes.

    Parameters
    ----------
    random_source : random.Random
        Source of the jitter.
    """

    __slots__ = ('_random_source', '_refused', 'peak', 'running')

    def __init__(self, random_source: random.Random) -> None:
        """Initialise without running handshakes."""
        self._random_source = random_source
        self._refused = 0
        self.running = 0
        self.peak = 0

    def refusal(self) -> Busy | None:
        """Return the answer to a refused node, None if it is admitted."""
        if self.running < MAX_HANDSHAKES:
            if self.running < MAX_HANDSHAKES // 2:
                self._refused = 0
            return None
        self._refused += 1
        longest_s = min(
            RETRY_LIMIT_S,
            MAX_RETRY_S * (1 + self._refused / REFUSALS_PER_STEP),
        )
        retry_s = self._random_source.uniform(MIN_RETRY_S, longest_s)
        return Busy(retry_after_ms=round(retry_s * MS_PER_S))

    @contextmanager
    def handshake(self) -> Iterator[None]:
        """Count a handshake as running for the length of a block."""
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            yield
        finally:
            self.running -= 1
