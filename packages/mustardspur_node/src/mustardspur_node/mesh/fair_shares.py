"""Fair shares of a target's slots between client accounts."""

from typing import Final

# Bounds the memory for accounts; more of them are rarely active at one target
# within the time of a queue.
MAX_ACCOUNTS: Final = 256
# Start time of calls without an account, which go before all others.
_NO_ACCOUNT_START: Final = -1.0


class FairShares:
    """Virtual times of client accounts for start-time fair queueing.

    Explanation
    ===========

    The load is that of one account which calls many times its usual rate
    while others call as usual. If waiting calls went by arrival, the calls of
    the others would wait behind those of that account.

    Each call gets a virtual start time, the later of the virtual time of the
    target and of the end of the previous call of its account; calls with
    earlier start times go first. The virtual time of the target is the start
    time of the call that was started last. An account that was idle thus
    starts at the present virtual time and gains no credit while it is idle.

    Calls without an account go before the others. Most of them are made by
    targets within calls, whose work would be lost if they were refused.
    """

    __slots__ = ('_ends_by_account', '_now')

    def __init__(self) -> None:
        """Initialise without calls."""
        self._now: float = 0
        self._ends_by_account: dict[str, float] = {}

    def start_of_next(self, account: str) -> float:
        """Return the virtual start time of the next call of an account."""
        if not account:
            return _NO_ACCOUNT_START
        return max(self._now, self._ends_by_account.get(account, 0))

    def reserve(self, account: str, cost_ms: float) -> float:
        """Return the virtual start time of a call and charge its account.

        Parameters
        ----------
        account : str
            Name of the account, empty for a call without one.
        cost_ms : float
            Expected time for which the call uses a slot.
        """
        start = self.start_of_next(account)
        if account:
            self._ends_by_account[account] = start + cost_ms
            self._discard_idle()
        return start

    def record_start(self, start: float) -> None:
        """Advance the virtual time to that of a call that starts."""
        self._now = max(self._now, start)

    def release(self, account: str, cost_ms: float) -> None:
        """Take back the charge of a call that does not start."""
        end = self._ends_by_account.get(account)
        if end is not None:
            self._ends_by_account[account] = end - cost_ms

    def _discard_idle(self) -> None:
        """Discard accounts whose calls have all started.

        Their next call starts at the present virtual time in any case.
        """
        if len(self._ends_by_account) <= MAX_ACCOUNTS:
            return
        self._ends_by_account = {
            account: end
            for account, end in self._ends_by_account.items()
            if end > self._now
        }
        while len(self._ends_by_account) > MAX_ACCOUNTS:
            self._ends_by_account.pop(next(iter(self._ends_by_account)))
