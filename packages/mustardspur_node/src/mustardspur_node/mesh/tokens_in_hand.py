"""Tokens that a node was granted and has not used."""

from collections import deque


class TokensInHand:
    """Tokens of one limit, each with a time at which it expires."""

    __slots__ = ('_grants',)

    def __init__(self) -> None:
        """Initialise without tokens."""
        # Numbers of tokens with their times, oldest first.
        self._grants: deque[tuple[int, float]] = deque()

    def add(self, tokens: int, until_s: float) -> None:
        """Add tokens that can be used until a time."""
        if tokens:
            self._grants.append((tokens, until_s))

    def count(self) -> int:
        """Return the number of tokens, also those that have expired since."""
        return sum(tokens for tokens, _ in self._grants)

    def try_take(self, now_s: float) -> bool:
        """Use a token and return whether there was a valid one."""
        self.discard_expired(now_s)
        if not self._grants:
            return False
        tokens, until_s = self._grants.popleft()
        if tokens > 1:
            self._grants.appendleft((tokens - 1, until_s))
        return True

    def discard_expired(self, now_s: float) -> None:
        """Remove the tokens whose time is over."""
        while self._grants and self._grants[0][1] <= now_s:
            self._grants.popleft()
