"""Part of a limit that a node uses without a control instance."""

import math
import random

from mustardspur_core.mesh.token_bucket import TokenBucket


class FallbackAllowance:
    """Bucket of a node that decides on its own.

    Explanation
    ===========

    If the part of the burst of one node is less than a token, the node has a
    token for that part of the time: one arrives in each period at a random
    phase and is kept for a time that is as long, relative to the period, as
    the part of the burst. All nodes together then hold the burst on average,
    however long they are idle. A bucket of at least one token for each node
    would let hundreds of nodes exceed a limit of a few calls a second, and a
    new random draw at each loss of the control instance would add up.

    Parameters
    ----------
    generator : random.Random
        Source of the phase.
    """

    __slots__ = ('_bucket', '_phase', '_used_s')

    def __init__(self, generator: random.Random) -> None:
        """Initialise with a full bucket."""
        self._phase = generator.random()
        self._used_s = float('-inf')
        self._bucket = TokenBucket(0, float('inf'))

    def try_take(self, per_s: float, capacity: float, now_s: float) -> float:
        """Take a token.

        Parameters
        ----------
        per_s, capacity : float
            This node's part of the rate and of the burst.
        now_s : float
            Present time.

        Returns
        -------
        float
            0 if there was a token, otherwise the time until the next one.
        """
        if capacity >= 1:
            self._bucket.set_limits(per_s, capacity, now_s)
            if self._bucket.try_take(now_s):
                return 0
            return self._bucket.wait_s(1)
        period_s = 1 / per_s
        position = now_s / period_s + self._phase
        number = math.floor(position)
        is_used = self._used_s / period_s + self._phase >= number
        if position - number < capacity and not is_used:
            self._used_s = now_s
            return 0
        return (number + 1 - position) * period_s
