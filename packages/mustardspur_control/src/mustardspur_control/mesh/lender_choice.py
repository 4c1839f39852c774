"""Choice of the control instances from which tokens are borrowed."""

from collections.abc import Callable, Collection, Iterable
from typing import Final

from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
    AllowanceUse,
)
from mustardspur_core.mesh.token_bucket import TokenBucket
from mustardspur_core.record import Record

# Tokens that come later are not used: while they are on the way, the lender's
# bucket fills again.
BORROW_WAIT_S: Final = 0.25
# An instance that lent less than it was asked for is not asked again for this
# time.
EMPTY_LENDER_S: Final = 0.5
# Bytes a second of the demand that an instance sends, of its requests to borrow
# and of their answers, below the 1 KB that an instance may send; and bytes that
# may follow each other at once.
EXCHANGE_BYTES_PER_S: Final = 900.0
EXCHANGE_BYTES: Final = 450.0
# Bytes of a use and its share beside the names of the limit, with two frames.
_LOAN_BYTES: Final = 68

DemandByLender = Callable[[str], dict[str, float]]


class _Loan(Record):
    """Tokens that were asked for and have not arrived."""

    __slots__ = ('request', 'until_s')
    request: AllowanceRequest
    until_s: float


class LenderChoice:
    """Chooses which instances to ask for which tokens.

    Explanation
    ===========

    The tokens of a limit are asked for from one instance at a time, starting
    with the one that has the largest demand for it and thereby the largest
    share. An instance has one request to answer at a time.

    Parameters
    ----------
    demand_of : callable
        Returns the demand for a limit by lender.
    now_s : float
        Present time.
    """

    __slots__ = ('_bytes', '_demand_of', '_empty_until_s', '_loans')

    def __init__(self, demand_of: DemandByLender, now_s: float) -> None:
        """Initialise without loans."""
        self._demand_of = demand_of
        self._bytes = TokenBucket(now_s, EXCHANGE_BYTES)
        self._bytes.set_limits(EXCHANGE_BYTES_PER_S, EXCHANGE_BYTES, now_s)
        self._loans: dict[str, _Loan] = {}
        # End of the time in which a lender is not asked, by limit and lender.
        self._empty_until_s: dict[tuple[str, str], float] = {}

    def count_bytes(self, sent_bytes: int) -> None:
        """Count bytes of messages to other control instances."""
        self._bytes.tokens -= sent_bytes

    def requests(
        self,
        missing: dict[str, int],
        lenders: Collection[str],
        now_s: float,
    ) -> dict[str, AllowanceRequest]:
        """Return the requests to send, by lender.

        Parameters
        ----------
        missing : dict of int
            Tokens to ask for, by limit.
        lenders : collection of str
            Instances that a request can be sent to.
        now_s : float
            Present time.
        """
        self._discard_ended(now_s)
        uses: dict[str, list[AllowanceUse]] = {}
        asked = self._limits_asked_for()
        for limit, tokens in missing.items():
            lender = None if limit in asked else self._lender(limit, lenders)
            if lender and self._try_spend(limit, now_s):
                use = AllowanceUse(limit=limit, spent=0, wanted=tokens, calls=0)
                uses.setdefault(lender, []).append(use)
        return {
            lender: self._loan(lender, of_lender, now_s)
            for lender, of_lender in uses.items()
        }

    def receive(
        self,
        lender: str,
        request: AllowanceRequest,
        grant: AllowanceGrant,
        now_s: float,
    ) -> Iterable[AllowanceShare]:
        """Return the shares of an answer whose tokens can be used."""
        for use, share in zip(request.uses, grant.grants, strict=True):
            if share.tokens < use.wanted:
                until_s = now_s + EMPTY_LENDER_S
                self._empty_until_s[use.limit, lender] = until_s
        loan = self._loans.get(lender)
        if loan is None or loan.request is not request:
            return ()
        self._loans.pop(lender)
        return grant.grants if now_s < loan.until_s else ()

    def _lender(self, limit: str, lenders: Collection[str]) -> str | None:
        """Return the free lender with the largest share in a limit."""
        demand = self._demand_of(limit)
        return min(
            (
                lender
                for lender in lenders
                if lender not in self._loans
                and (limit, lender) not in self._empty_until_s
            ),
            key=lambda lender: (-demand.get(lender, 0), lender),
            default=None,
        )

    def _loan(
        self,
        lender: str,
        uses: list[AllowanceUse],
        now_s: float,
    ) -> AllowanceRequest:
        request = AllowanceRequest(uses=uses)
        until_s = now_s + BORROW_WAIT_S
        self._loans[lender] = _Loan(request=request, until_s=until_s)
        return request

    def _limits_asked_for(self) -> set[str]:
        return {
            use.limit
            for loan in self._loans.values()
            for use in loan.request.uses
        }

    def _try_spend(self, limit: str, now_s: float) -> bool:
        """Take the bytes of a use and its share, if there are any left."""
        self._bytes.refill(now_s)
        if self._bytes.tokens <= 0:
            return False
        self.count_bytes(_LOAN_BYTES + 2 * len(limit))
        return True

    def _discard_ended(self, now_s: float) -> None:
        """Remove loans and empty lenders whose time is over."""
        self._loans = {
            lender: loan
            for lender, loan in self._loans.items()
            if now_s < loan.until_s
        }
        self._empty_until_s = {
            pair: until_s
            for pair, until_s in self._empty_until_s.items()
            if now_s < until_s
        }
