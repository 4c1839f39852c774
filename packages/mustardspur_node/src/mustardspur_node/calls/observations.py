"""What a node observed of a target's answers."""

from typing import Final

_FIRST_LATENCY_MS: Final = 1.0
_SMOOTHING: Final = 0.1
# An answer much slower than usual counts at once, recovery is averaged.
_SLOW_SMOOTHING: Final = 0.3
# Refusals and errors come fast; without a heavy penalty, their low latency
# would attract calls.
_ERROR_PENALTY: Final = 10.0


class Observations:
    """Moving averages of latency and errors of one target."""

    __slots__ = (
        'consecutive_failures',
        'error_rate',
        'last_failure_at',
        'latency_ms',
    )

    def __init__(self) -> None:
        """Start with a quick target without errors."""
        self.latency_ms = _FIRST_LATENCY_MS
        self.error_rate: float = 0
        self.consecutive_failures = 0
        self.last_failure_at: float = 0

    @property
    def cost_ms(self) -> float:
        """Latency with a penalty for errors."""
        return self.latency_ms * (1 + self.error_rate * _ERROR_PENALTY)

    def success(self, latency_ms: float) -> None:
        """Take a complete answer into account."""
        self.latency(latency_ms)
        self.error_rate -= self.error_rate * _SMOOTHING
        self.consecutive_failures = 0

    def refusal(self) -> None:
        """Take a documented refusal into account."""
        self.error_rate += (1 - self.error_rate) * _SMOOTHING

    def failure(self, now: float) -> None:
        """Take a failed call into account."""
        self.refusal()
        self.consecutive_failures += 1
        self.last_failure_at = now

    def latency(self, latency_ms: float) -> None:
        """Move the average towards a latency."""
        difference = latency_ms - self.latency_ms
        slower = difference > self.latency_ms
        smoothing = _SLOW_SMOOTHING if slower else _SMOOTHING
        self.latency_ms += difference * smoothing
