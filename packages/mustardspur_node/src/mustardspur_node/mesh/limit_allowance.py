"""Tokens of one shared limit at a node."""

import asyncio
import random
from typing import Final

from mustardspur_core.mesh.allowance_checks import MAX_CALLS
from mustardspur_core.mesh.control_messages import AllowanceShare, AllowanceUse
from mustardspur_core.mesh.model import ClientAccount
from mustardspur_core.record import Record
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.fallback_allowance import FallbackAllowance
from mustardspur_node.mesh.tokens_in_hand import TokensInHand

# A relaxed grant is used for this time.
RELAXED_S: Final = 2.0
# Calls that are admitted in advance and have not been answered by a grant.
MAX_ADVANCE: Final = 2
# Tokens are asked for in advance for the calls of this time, so that a node
# with many calls of an account does not wait for each of them. Nodes with
# fewer than ten calls a second ask for none.
PREFETCH_S: Final = 0.1
# The rate of the calls is averaged over this time.
RATE_S: Final = 0.5
# Part of the burst and of the slack that all nodes use without control
# instances.
FALLBACK_PART: Final = 0.5
# A refused node asks again after a day at the latest.
MAX_RETRY_S: Final = 86_400.0

# Result of a wait: 0 for an admitted call, otherwise the time after which the
# caller may retry; None if no grant came.
Waiter = asyncio.Future[float | None]


class SentUse(Record):
    """Use of a limit in a request, with the calls that wait for its grant."""

    __slots__ = ('use', 'waiters')
    use: AllowanceUse
    waiters: list[Waiter]


class LimitAllowance:
    """Decides on the calls of an account by what a node was granted.

    Parameters
    ----------
    account : ClientAccount
        Account whose rate is limited.
    generator : random.Random
        Source of the phase of the fallback.
    now_s : float
        Present time on the event loop's clock.

    Attributes
    ----------
    account : ClientAccount
        Account with the limit of the latest table.
    asked, admitted, refused : int
        Calls in all, those admitted and those beyond the limit.
    """

    __slots__ = (
        '_advance',
        '_calls',
        '_fallback',
        '_hand',
        '_measured_s',
        '_rate_per_s',
        '_refused_until_s',
        '_relaxed_until_s',
        '_spent',
        'account',
        'admitted',
        'asked',
        'granted_s',
        'refused',
        'waiters',
    )

    def __init__(
        self,
        account: ClientAccount,
        generator: random.Random,
        now_s: float,
    ) -> None:
        """Initialise without tokens."""
        self.account = account
        self.asked = 0
        self.admitted = 0
        self.refused = 0
        self.waiters: list[Waiter] = []
        # Time of the latest request that was answered in time.
        self.granted_s: float | None = None
        self._hand = TokensInHand()
        self._relaxed_until_s = float('-inf')
        self._refused_until_s = float('-inf')
        self._spent = 0
        self._advance = 0
        self._calls = 0
        self._rate_per_s: float = 0
        self._measured_s = now_s
        self._fallback = FallbackAllowance(generator)

    @property
    def limit(self) -> str:
        """Name of the limit."""
        name = self.account.name
        return f'account/{name}'

    @property
    def must_report(self) -> bool:
        """Whether the next call would wait without a further grant."""
        return self._advance >= MAX_ADVANCE or bool(self.waiters)

    @property
    def has_news(self) -> bool:
        """Whether calls were admitted in advance or tokens run low."""
        return bool(self._spent) or self._prefetch() > 0

    def try_admit(self, now_s: float) -> bool:
        """Admit a call with a token in hand or in advance, if possible."""
        self.asked += 1
        self._calls += 1
        if self._hand.try_take(now_s):
            return True
        if now_s >= self._relaxed_until_s or self._advance >= MAX_ADVANCE:
            return False
        self._advance += 1
        self._spent += 1
        return True

    def refused_for_s(self, now_s: float) -> float:
        """Return for how long no token is expected, 0 or less if unknown."""
        return self._refused_until_s - now_s

    def fall_back(self, nodes: int, slack: float, now_s: float) -> float:
        """Decide on a call without a control instance.

        Parameters
        ----------
        nodes : int
            Number of nodes that share the limit.
        slack : float
            Calls that all nodes together may run beyond the limit.
        now_s : float
            Present time.

        Returns
        -------
        float
            0 if the call is admitted, otherwise the time until a retry.
        """
        part = FALLBACK_PART / max(nodes, 1)
        return self._fallback.try_take(
            self.account.rate_per_s * part,
            (self.account.burst + slack) * part,
            now_s,
        )

    def next_use(self, now_s: float) -> SentUse:
        """Return what the next request says of this limit."""
        self._measure(now_s)
        self.waiters = [each for each in self.waiters if not each.done()]
        sent = SentUse(
            use=AllowanceUse(
                limit=self.limit,
                spent=self._spent,
                wanted=len(self.waiters) + self._prefetch(),
                calls=min(self._calls, MAX_CALLS),
            ),
            waiters=self.waiters,
        )
        self._spent = 0
        self._calls = 0
        self.waiters = []
        return sent

    def apply(
        self,
        share: AllowanceShare,
        sent: SentUse,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Give the tokens of a grant to the waiting calls; keep the rest.

        The validity counts from the request, since a node that was suspended
        reads a grant long after it was made.
        """
        self._advance -= sent.use.spent
        self.granted_s = sent_s
        self._relaxed_until_s = sent_s + RELAXED_S if share.relaxed else now_s
        until_s = sent_s + share.valid_ms / MS_PER_S
        tokens = share.tokens if now_s < until_s else 0
        retry_s = min(share.retry_after_ms / MS_PER_S, MAX_RETRY_S)
        for waiter in sent.waiters:
            if waiter.done():
                continue
            if tokens:
                tokens -= 1
                waiter.set_result(0)
            else:
                self._refused_until_s = now_s + retry_s
                waiter.set_result(retry_s or None)
        self._hand.add(tokens, until_s)

    def apply_late(self, sent: SentUse) -> None:
        """Count the reported calls of a grant that came too late.

        Its tokens are not used, since its calls were decided without it.
        """
        self._advance -= sent.use.spent

    def detach(self) -> None:
        """Forget relaxed grants and requests of a lost control instance.

        Tokens in hand can be used until they expire.
        """
        self._relaxed_until_s = float('-inf')
        self._refused_until_s = float('-inf')
        self._advance = self._spent

    def _prefetch(self) -> int:
        """Return how many tokens are missing for the calls to come."""
        wanted = int(self._rate_per_s * PREFETCH_S)
        return max(wanted - self._hand.count(), 0)

    def _measure(self, now_s: float) -> None:
        elapsed_s = now_s - self._measured_s
        if elapsed_s <= 0:
            return
        weight = min(elapsed_s / RATE_S, 1)
        self._rate_per_s += (
            self._calls / elapsed_s - self._rate_per_s
        ) * weight
        self._measured_s = now_s


def end_waits(waiters: list[Waiter]) -> None:
    """Let calls that wait be decided without a grant."""
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)
