"""Adaptive limit of a node's concurrent calls at one target."""

from typing import Final

from mustardspur_core.units import MS_PER_S

_QUEUEING_BACKOFF: Final = 0.9
_REFUSAL_BACKOFF: Final = 0.8
# A latency above twice the floor plus the slack shows that calls queue at
# the target. The slack covers the delay of the node's own event loop, up to
# 10 ms at saturation; with 5 ms the limits of idle targets were reduced.
_QUEUEING_FACTOR: Final = 2.0
_QUEUEING_SLACK_MS: Final = 20.0
# The floor rises slowly, so that a target that became slower permanently
# gets a new floor after a few thousand calls.
_FLOOR_RISE: Final = 1.001
# A single slow call can be caused by the instance; a queue at the target
# slows down most of the calls.
_SLOW_SHARE: Final = 0.5
_SMOOTHING: Final = 0.1
# One slot in this many is reserved for the first priority. A target with
# fewer slots reserves none; there only the queue orders calls by priority.
_SLOTS_PER_RESERVED: Final = 8
# At least two, so that a slot can stay free of calls of lower priority.
_MIN_LIMIT: Final = 2.0


class AdaptiveLimit:
    """Concurrency limit with additive increase, multiplicative decrease.

    Explanation
    ===========

    Latencies are compared with the floor of the same route, since the
    routes of one target differ in latency even without queueing.

    Parameters
    ----------
    slots : int
        Calls that the target runs concurrently; more would queue there.
    """

    __slots__ = (
        '_ceiling',
        '_floor_ms_by_route',
        '_next_decrease_at',
        '_slow_share',
        'current',
    )

    def __init__(self, slots: int) -> None:
        """Initialise the limit with the number of slots."""
        self._ceiling = float(max(slots, 1))
        self._floor_ms_by_route: dict[str, float] = {}
        self._next_decrease_at: float = 0
        self._slow_share: float = 0
        self.current = self._ceiling

    @property
    def reserve(self) -> int:
        """Number of calls that lower priorities leave free."""
        return int(self.current / _SLOTS_PER_RESERVED)

    def on_success(
        self,
        route: str,
        latency_ms: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Update the limit by the latency of a successful call.

        It changes only while at least half of it is in use: it falls while
        most calls are slow and rises otherwise.
        """
        floor_ms = self._floor_ms_by_route.get(route, latency_ms)
        floor_ms = min(latency_ms, floor_ms * _FLOOR_RISE)
        self._floor_ms_by_route[route] = floor_ms
        if in_flight * 2 < self.current:
            return
        bound_ms = floor_ms * _QUEUEING_FACTOR + _QUEUEING_SLACK_MS
        slow = latency_ms > bound_ms
        self._slow_share += (slow - self._slow_share) * _SMOOTHING
        if self._slow_share > _SLOW_SHARE:
            self._decrease(_QUEUEING_BACKOFF, latency_ms, now)
        elif not slow and self.current < self._ceiling:
            self.current = min(self.current + 1 / self.current, self._ceiling)

    def on_refusal(self, latency_ms: float, now: float) -> None:
        """Reduce the limit after a refusal, a failure or a timeout."""
        self._decrease(_REFUSAL_BACKOFF, latency_ms, now)

    def _decrease(self, factor: float, latency_ms: float, now: float) -> None:
        # All calls within one round trip observe the same queue, so the limit
        # is reduced at most once in that time.
        if now < self._next_decrease_at:
            return
        self._next_decrease_at = now + latency_ms / MS_PER_S
        lowest = min(_MIN_LIMIT, self._ceiling)
        self.current = max(lowest, self.current * factor)
