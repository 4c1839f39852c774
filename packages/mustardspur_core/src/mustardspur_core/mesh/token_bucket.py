"""Token bucket whose rate and capacity can change."""


class TokenBucket:
    """Tokens that arrive at a rate, up to a capacity.

    Parameters
    ----------
    now_s : float
        Time of the start, on the clock of the later calls.
    tokens : float
        Tokens at the start; `set_limits` cuts them to the first capacity.
    """

    __slots__ = ('_updated_s', 'capacity', 'per_s', 'tokens')

    def __init__(self, now_s: float, tokens: float = 0) -> None:
        """Initialise the bucket; `set_limits` sets its rate and capacity."""
        self._updated_s = now_s
        self.tokens = tokens
        self.per_s: float = 0
        self.capacity = tokens

    def set_limits(self, per_s: float, capacity: float, now_s: float) -> None:
        """Change the rate from now on, and cut the tokens to the capacity."""
        self.refill(now_s)
        self.per_s = per_s
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def refill(self, now_s: float) -> None:
        """Add the tokens that arrived since the latest call."""
        elapsed_s = max(now_s - self._updated_s, 0)
        self._updated_s = max(now_s, self._updated_s)
        self.tokens = min(self.tokens + elapsed_s * self.per_s, self.capacity)

    def try_take(self, now_s: float) -> bool:
        """Take a token and return whether there was one."""
        self.refill(now_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_s(self, tokens: float) -> float:
        """Return the time until the bucket has a number of tokens."""
        missing = max(tokens - self.tokens, 0)
        return missing / self.per_s if self.per_s else float('inf')
