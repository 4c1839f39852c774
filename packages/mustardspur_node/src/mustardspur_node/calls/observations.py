"""Observed latency and errors of a target."""

from typing import Final

_INITIAL_LATENCY_MS: Final = 1.0
_SMOOTHING: Final = 0.1
# A response of more than twice the average latency is weighted more, so that
# the average rises quickly and recovers slowly.
_SLOW_SMOOTHING: Final = 0.3
# Refusals and errors are fast; without a penalty their low latency would
# attract more calls.
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
        """Initialise with a low latency and no errors."""
        self.latency_ms = _INITIAL_LATENCY_MS
        self.error_rate: float = 0
        self.consecutive_failures = 0
        self.last_failure_at: float = 0

    @property
    def cost_ms(self) -> float:
        """Latency in milliseconds with a penalty for errors."""
        return self.latency_ms * (1 + self.error_rate * _ERROR_PENALTY)

    def record_success(self, latency_ms: float) -> None:
        """Record a complete response."""
        self.record_latency(latency_ms)
        self.error_rate -= self.error_rate * _SMOOTHING
        self.consecutive_failures = 0

    def record_refusal(self) -> None:
        """Record a refusal."""
        self.error_rate += (1 - self.error_rate) * _SMOOTHING

    def record_failure(self, now: float) -> None:
        """Record a failed call."""
        self.record_refusal()
        self.consecutive_failures += 1
        self.last_failure_at = now

    def record_latency(self, latency_ms: float) -> None:
        """Update the moving average of the latency."""
        difference = latency_ms - self.latency_ms
        slower = difference > self.latency_ms
        smoothing = _SLOW_SMOOTHING if slower else _SMOOTHING
        self.latency_ms += difference * smoothing
