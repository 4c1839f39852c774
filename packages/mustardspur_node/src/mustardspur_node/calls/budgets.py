"""Budgets that bound the extra attempts of calls."""

from typing import Final

MAX_CHAIN_RETRIES: Final = 3
_MAX_TOKENS: Final = 10.0
_FIRST_TOKENS: Final = 5.0
_NO_TOKENS: Final = 0


class RetryBudget:
    """Extra attempts that a node may add to its own calls.

    Explanation
    ===========

    Each call pays in a fraction of a token, each extra attempt takes a
    whole one, so that in the long run extra attempts stay below that
    fraction of the calls even when every call fails.

    Parameters
    ----------
    ratio : float
        Extra attempts for each call.
    """

    __slots__ = ('_ratio', '_tokens')

    def __init__(self, ratio: float) -> None:
        """Start with a few tokens, so that rare calls can be tried again."""
        self._ratio = ratio
        self._tokens: float = _FIRST_TOKENS if ratio else _NO_TOKENS

    def deposit(self) -> None:
        """Count a call."""
        if self._tokens < _MAX_TOKENS:
            self._tokens += self._ratio

    def withdraw(self) -> bool:
        """Take a token; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ChainBudget:
    """Extra attempts left for all levels of one call together.

    Explanation
    ===========

    The budget is conserved: it travels down with an attempt, and what the
    attempt may have spent further down is not available here any more.
    One extra attempt is kept back at each level, the rest goes down, so
    that all levels together add at most `MAX_CHAIN_RETRIES` attempts, no
    matter how deep the chain is.

    Parameters
    ----------
    header : str or None
        Value of the header ``x-mustardspur-retry-budget``.
    """

    __slots__ = ('_kept', '_passed')

    def __init__(self, header: str | None) -> None:
        """Read the header; a malformed one leaves no extra attempts."""
        total = MAX_CHAIN_RETRIES
        if header is not None:
            total = int(header) if _is_count(header) else 0
        total = min(total, MAX_CHAIN_RETRIES)
        self._kept = min(total, 1)
        self._passed = total - self._kept

    def pass_down(self) -> int:
        """Return the budget that goes with the next attempt."""
        passed = self._passed
        self._passed = 0
        return passed

    def give_back(self, unspent: int) -> None:
        """Take back what an attempt certainly did not spend."""
        self._passed += unspent

    @property
    def left(self) -> int:
        """Extra attempts that this level may still spend."""
        return self._kept + self._passed

    def withdraw(self) -> bool:
        """Take an extra attempt; False if none is left."""
        if self._kept:
            self._kept -= 1
            return True
        if self._passed:
            self._passed -= 1
            return True
        return False


def _is_count(text: str) -> bool:
    return len(text) == 1 and text.isascii() and text.isdigit()
