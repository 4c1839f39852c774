"""Retry budgets, which bound the retries and hedges of calls."""

from typing import Final

MAX_CHAIN_RETRIES: Final = 3
_MAX_TOKENS: Final = 10.0
_FIRST_TOKENS: Final = 5.0
_NO_TOKENS: Final = 0


class RetryBudget:
    """Token bucket for the retries and hedges of one node.

    Explanation
    ===========

    Each call deposits a fraction of a token and each retry or hedge
    withdraws a whole one. In the long run the extra attempts stay below that
    fraction of the calls, even when every call fails.

    Parameters
    ----------
    ratio : float
        Extra attempts allowed for each call.
    """

    __slots__ = ('_ratio', '_tokens')

    def __init__(self, ratio: float) -> None:
        """Initialise with a few tokens, so that rare calls can be retried."""
        self._ratio = ratio
        self._tokens: float = _FIRST_TOKENS if ratio else _NO_TOKENS

    def deposit(self) -> None:
        """Add the share of a token that one call deposits."""
        if self._tokens < _MAX_TOKENS:
            self._tokens += self._ratio

    def withdraw(self) -> bool:
        """Withdraw a token and return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ChainBudget:
    """Retries that remain for all levels of a call chain together.

    Explanation
    ===========

    The budget is conserved: a part of it is forwarded with an attempt, and
    what the attempt may have spent downstream is no longer available here.
    Each level reserves one retry and forwards the rest, so that all levels
    together add at most `MAX_CHAIN_RETRIES` attempts at any depth.

    Parameters
    ----------
    header : str or None
        Value of the header ``x-mustardspur-retry-budget``.
    """

    __slots__ = ('_reserved', '_transferable')

    def __init__(self, header: str | None) -> None:
        """Initialise from the header; a malformed one allows no retries."""
        total = MAX_CHAIN_RETRIES
        if header is not None:
            total = int(header) if _is_count(header) else 0
        total = min(total, MAX_CHAIN_RETRIES)
        self._reserved = min(total, 1)
        self._transferable = total - self._reserved

    def allocate(self) -> int:
        """Return the budget to forward with the next attempt."""
        forwarded_budget = self._transferable
        self._transferable = 0
        return forwarded_budget

    def refund(self, unspent: int) -> None:
        """Add the part of a forwarded budget that was certainly not spent."""
        self._transferable += unspent

    @property
    def remaining(self) -> int:
        """Retries that this level may still make."""
        return self._reserved + self._transferable

    def withdraw(self) -> bool:
        """Withdraw a retry and return whether one remained."""
        if self._reserved:
            self._reserved -= 1
            return True
        if self._transferable:
            self._transferable -= 1
            return True
        return False


def _is_count(text: str) -> bool:
    return len(text) == 1 and text.isascii() and text.isdigit()
