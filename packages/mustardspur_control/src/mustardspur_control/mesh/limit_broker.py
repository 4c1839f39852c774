"""Tokens of one limit at one control instance."""

from typing import Final

from mustardspur_core.mesh.allowance_checks import MAX_CALLS
from mustardspur_core.mesh.control_messages import AllowanceShare, AllowanceUse
from mustardspur_core.mesh.token_bucket import TokenBucket
from mustardspur_core.units import MS_PER_S

VALID_MS: Final = 1000.0
# A node may use a relaxed grant for this time.
RELAXED_S: Final = 2.0
# Calls that a node with a relaxed grant may admit before they are reported.
ADVANCE_CALLS: Final = 2
MIN_RETRY_MS: Final = 50.0
# Part of the burst that is divided equally; the rest follows the shares. With a
# smaller part, the bucket of an instance with few calls is empty before tokens
# that it borrows arrive.
EQUAL_PART: Final = 0.5
# Demand is averaged over this time, and longer for low rates, whose few calls
# tell little about the distribution of the demand.
DEMAND_S: Final = 2.0
DEMAND_CALLS: Final = 40
MAX_DEMAND_S: Final = 10.0
# A lower demand counts as none.
MIN_DEMAND_PER_S: Final = 0.01


class LimitBroker:
    """Grants tokens of this instance's share of a limit.

    Explanation
    ===========

    A relaxed grant reserves the calls that its node may admit in advance, so
    that the bucket covers them at any number of nodes. The reservation ends
    with the node's next request or with the grant.

    Parameters
    ----------
    limit : str
        Name of the limit.
    bucket : TokenBucket
        Bucket with this instance's share.
    now_s : float
        Present time.

    Attributes
    ----------
    rate_per_s, burst, slack : float
        Limit over all control instances: tokens a second, and those that all
        buckets together may hold.
    may_relax : bool
        Whether grants may be relaxed, and tokens may be borrowed.
    valid_ms : float
        Time for which granted tokens can be used.
    share : float
        Part of the limit that this instance grants.
    equal_share : float
        Part of the limit if all instances had the same.
    demand_per_s : float
        Calls a second that the attached nodes ask for, averaged.
    """

    __slots__ = (
        '_calls',
        '_measured_s',
        '_previous_calls',
        '_previous_per_s',
        '_promised_until_s',
        '_reserved_until_s',
        'bucket',
        'burst',
        'demand_per_s',
        'equal_share',
        'limit',
        'may_relax',
        'rate_per_s',
        'share',
        'slack',
        'valid_ms',
    )

    def __init__(self, limit: str, bucket: TokenBucket, now_s: float) -> None:
        """Initialise without demand, share or reservations."""
        self.limit = limit
        self.bucket = bucket
        self.rate_per_s: float = 0
        self.burst: float = 0
        self.slack: float = 0
        self.may_relax = True
        self.valid_ms = VALID_MS
        self.share: float = 0
        self.equal_share: float = 1
        self.demand_per_s: float = 0
        # Demand at the measurement before the latest one.
        self._previous_per_s: float = 0
        self._calls = 0
        # Calls between the two latest measurements.
        self._previous_calls = 0
        self._measured_s = now_s
        self._promised_until_s = now_s
        # End of the relaxed grant by node, in the order of the grants.
        self._reserved_until_s: dict[str, float] = {}

    @property
    def heard_per_s(self) -> float:
        """Demand that the other instances have heard of, at least.

        If shares rose by a demand that only one instance knows, those of
        instances at which calls begin at the same moment would add up to more
        than the limit.
        """
        return min(self.demand_per_s, self._previous_per_s)

    def resize(self, share: float, now_s: float) -> None:
        """Set this instance's share of the limit, 0 to 1."""
        self.share = share
        # Limits that do not borrow have their tokens where the demand is.
        equal_part = EQUAL_PART if self.may_relax else 0
        part = equal_part * self.equal_share + (1 - equal_part) * share
        # A smaller bucket would never hold a whole token.
        capacity = max(part * (self.burst + self.slack), 1)
        self.bucket.set_limits(share * self.rate_per_s, capacity, now_s)

    def answer(
        self,
        node: str,
        use: AllowanceUse,
        now_s: float,
    ) -> AllowanceShare:
        """Take the spent calls from the bucket and return a grant."""
        self._calls += max(use.calls, use.spent)
        self._reserved_until_s.pop(node, None)
        self.bucket.refill(now_s)
        self.bucket.tokens -= use.spent
        free = self.bucket.tokens - self._reserved(now_s)
        tokens = max(min(use.wanted, int(free)), 0)
        self.bucket.tokens -= tokens
        free -= tokens
        missing = use.wanted - tokens
        relaxed = not missing and self._is_far_from_limit(free)
        if relaxed:
            self._reserved_until_s[node] = now_s + RELAXED_S
        return AllowanceShare(
            limit=self.limit,
            tokens=tokens,
            valid_ms=self.valid_ms,
            relaxed=relaxed,
            retry_after_ms=self._promise_ms(free, missing, now_s),
        )

    def missing(self) -> int:
        """Return how many tokens to borrow: none while half are left."""
        free = self.bucket.tokens - ADVANCE_CALLS * len(self._reserved_until_s)
        if not self.may_relax or free >= self.bucket.capacity / 2:
            return 0
        return min(int(self.bucket.capacity - self.bucket.tokens), MAX_CALLS)

    def lend(self, wanted: int, now_s: float) -> int:
        """Take tokens for another control instance and return how many."""
        self.bucket.refill(now_s)
        # The calls of the next interval, as far as the latest ones tell.
        expected = max(self._calls, self._previous_calls)
        kept = min(expected, self.bucket.capacity / 2)
        free = self.bucket.tokens - self._reserved(now_s) - kept
        tokens = max(min(wanted, int(free)), 0)
        self.bucket.tokens -= tokens
        return tokens

    def borrow(self, tokens: int, now_s: float) -> None:
        """Add tokens of another control instance, up to the capacity.

        The sum of all buckets thereby stays within that of their capacities.
        """
        self.bucket.refill(now_s)
        tokens_held = self.bucket.tokens + tokens
        self.bucket.tokens = min(tokens_held, self.bucket.capacity)

    def measure(self, now_s: float) -> None:
        """Update the average demand."""
        elapsed_s = now_s - self._measured_s
        if elapsed_s <= 0:
            return
        span_s = DEMAND_S + DEMAND_CALLS / max(self.rate_per_s, 1)
        weight = min(elapsed_s / min(span_s, MAX_DEMAND_S), 1)
        seen_per_s = self._calls / elapsed_s
        self._previous_per_s = self.demand_per_s
        self.demand_per_s += (seen_per_s - self.demand_per_s) * weight
        if self.demand_per_s < MIN_DEMAND_PER_S:
            self.demand_per_s = 0
        self._previous_calls = self._calls
        self._calls = 0
        self._measured_s = now_s

    def _reserved(self, now_s: float) -> int:
        expired = []
        for node, until_s in self._reserved_until_s.items():
            if until_s > now_s:
                break
            expired.append(node)
        for expired_node in expired:
            self._reserved_until_s.pop(expired_node)
        return ADVANCE_CALLS * len(self._reserved_until_s)

    def _is_far_from_limit(self, free: float) -> bool:
        if not self.may_relax:
            return False
        return free - ADVANCE_CALLS >= self.bucket.capacity / 2

    def _promise_ms(self, free: float, missing: int, now_s: float) -> float:
        """Return after which time a refused node finds a token.

        Nodes that are refused one after the other are told different times.
        None is told more than half of the time that fills the bucket, so that
        no token is lost while all of them wait.
        """
        if not missing:
            return 0
        interval_s = 1 / self.bucket.per_s
        latest_s = now_s + max(self.bucket.capacity / 2, 1) * interval_s
        ready_s = max(
            now_s + max(1 - free, 0) * interval_s,
            self._promised_until_s,
        )
        ready_s = min(ready_s, latest_s)
        self._promised_until_s = ready_s + missing * interval_s
        return max((ready_s - now_s) * MS_PER_S, MIN_RETRY_MS)
