"""Tokens that control instances borrow from each other."""

from collections.abc import Callable, Collection, Iterable, Mapping

from mustardspur_core.mesh.allowance_checks import check_grant, check_request
from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
    AllowanceUse,
)

from mustardspur_control.mesh.lender_choice import LenderChoice
from mustardspur_control.mesh.limit_broker import LimitBroker


class TokenBorrowing:
    """Borrows tokens for buckets that run low, and lends unused ones.

    Explanation
    ===========

    Shares follow the demand within seconds. Until then, an account whose calls
    begin at the nodes of one instance would be refused there while the buckets
    of the other instances are full.

    Parameters
    ----------
    by_limit : mapping of LimitBroker
        Brokers of this instance by the names of their limits.
    lenders : LenderChoice
        Chooses whom to ask.
    """

    __slots__ = ('_by_limit', '_lenders', '_listeners', '_missing')

    def __init__(
        self,
        by_limit: Mapping[str, LimitBroker],
        lenders: LenderChoice,
    ) -> None:
        """Initialise without loans."""
        self._by_limit = by_limit
        self._lenders = lenders
        # Tokens to borrow, by limit.
        self._missing: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_shortage(self, listener: Callable[[], None]) -> None:
        """Call a listener when tokens are to be borrowed."""
        self._listeners.append(listener)

    def check_shortages(self, uses: Iterable[AllowanceUse]) -> None:
        """Determine the missing tokens of the limits of some uses."""
        is_short = False
        for use in uses:
            broker = self._by_limit.get(use.limit)
            tokens = broker.missing() if broker else 0
            if tokens:
                self._missing[use.limit] = tokens
                is_short = True
            else:
                self._missing.pop(use.limit, None)
        if is_short:
            for listener in self._listeners:
                listener()

    def requests(
        self,
        lenders: Collection[str],
        now_s: float,
    ) -> dict[str, AllowanceRequest]:
        """Return the requests to send, by instance.

        Parameters
        ----------
        lenders : collection of str
            Instances that a request can be sent to.
        now_s : float
            Present time.
        """
        for removed in self._missing.keys() - self._by_limit.keys():
            self._missing.pop(removed)
        return self._lenders.requests(self._missing, lenders, now_s)

    def lend(self, request: AllowanceRequest, now_s: float) -> AllowanceGrant:
        """Return the tokens that another control instance borrows.

        Raises
        ------
        MalformedFrame
            If a number of the request is out of its range.
        """
        check_request(request)
        return AllowanceGrant(
            grants=[self._share(use, now_s) for use in request.uses],
        )

    def receive(
        self,
        lender: str,
        request: AllowanceRequest,
        grant: AllowanceGrant,
        now_s: float,
    ) -> None:
        """Add the tokens that another control instance lends.

        Raises
        ------
        MalformedFrame
            If the answer does not match the request.
        """
        check_grant(grant, request.uses)
        for share in self._lenders.receive(lender, request, grant, now_s):
            broker = self._by_limit.get(share.limit)
            if broker is not None:
                broker.borrow(share.tokens, now_s)
        self.check_shortages(request.uses)

    def _share(self, use: AllowanceUse, now_s: float) -> AllowanceShare:
        broker = self._by_limit.get(use.limit)
        return AllowanceShare(
            limit=use.limit,
            tokens=broker.lend(use.wanted, now_s) if broker else 0,
            valid_ms=0,
            relaxed=False,
            retry_after_ms=0,
        )
