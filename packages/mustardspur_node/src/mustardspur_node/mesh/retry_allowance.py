"""Tokens for the retries of one service, granted by a control instance."""

import math
from typing import Final

from mustardspur_core.mesh.control_messages import AllowanceShare, AllowanceUse
from mustardspur_core.mesh.retry_limits import retry_limit
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.limit_allowance import SentUse
from mustardspur_node.mesh.tokens_in_hand import TokensInHand

# Tokens are asked for in advance for the failures of this time.
AHEAD_S: Final = 0.3
# The rate of the failures is averaged over this time.
RATE_S: Final = 0.5
# Tokens of a request that was not answered are asked for again after this time.
ANSWER_S: Final = 0.2
# A node that was refused tokens asks again after this time at the latest: the
# share of its control instance may have risen.
MAX_REFUSED_S: Final = 0.5


class RetryAllowance:
    """Asks for tokens once calls of a service fail, and holds them.

    No call waits for a grant. The tokens are for the failures that follow,
    which usually come in numbers.

    Parameters
    ----------
    service : str
        The service that is called.

    Attributes
    ----------
    limit : str
        Name of the limit.
    """

    __slots__ = (
        '_answer_until_s',
        '_failures',
        '_hand',
        '_recent',
        '_refused_until_s',
        '_seen_s',
        'limit',
    )

    def __init__(self, service: str) -> None:
        """Initialise without tokens."""
        self.limit = retry_limit(service)
        self._hand = TokensInHand()
        # Failures since the previous request.
        self._failures = 0
        # Failures with a weight that falls with their age, about those of the
        # last `RATE_S`.
        self._recent: float = 0
        self._seen_s = float('-inf')
        self._answer_until_s = float('-inf')
        self._refused_until_s = float('-inf')

    @property
    def must_report(self) -> bool:
        """Whether the next request is sent without delay: always."""
        return True

    def try_take(self, now_s: float) -> bool:
        """Use a token and return whether there was one."""
        return self._hand.try_take(now_s)

    def record_failure(self, now_s: float) -> bool:
        """Count a failure beyond the credit of the node.

        Returns
        -------
        bool
            Whether tokens are to be asked for.
        """
        elapsed_s = now_s - self._seen_s
        self._recent = self._recent * math.exp(-elapsed_s / RATE_S) + 1
        self._seen_s = now_s
        self._failures += 1
        if now_s < max(self._answer_until_s, self._refused_until_s):
            return False
        return self._missing(now_s) > 0

    def next_use(self, now_s: float) -> SentUse:
        """Return what the next request says of this limit."""
        use = AllowanceUse(
            limit=self.limit,
            spent=0,
            wanted=self._missing(now_s),
            calls=self._failures,
        )
        self._failures = 0
        self._answer_until_s = now_s + ANSWER_S
        return SentUse(use=use, waiters=[])

    def apply(
        self,
        share: AllowanceShare,
        sent: SentUse,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Keep the tokens of a grant.

        The validity counts from the request, since a node that was suspended
        reads a grant long after it was made.
        """
        self._answer_until_s = now_s
        self._hand.add(share.tokens, sent_s + share.valid_ms / MS_PER_S)
        if share.tokens < sent.use.wanted:
            # An earlier control instance does not know the limit, and states
            # no time.
            refused_ms = share.retry_after_ms or math.inf
            refused_s = min(refused_ms / MS_PER_S, MAX_REFUSED_S)
            self._refused_until_s = now_s + refused_s

    def apply_late(self, sent: SentUse) -> None:
        """Note a grant that came too late, whose tokens are not used."""
        self._answer_until_s = float('-inf')

    def _missing(self, now_s: float) -> int:
        self._hand.discard_expired(now_s)
        expected = math.ceil(self._recent * AHEAD_S / RATE_S)
        return max(expected - self._hand.count(), 0)
