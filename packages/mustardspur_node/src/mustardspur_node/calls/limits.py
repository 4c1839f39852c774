"""Adaptive limit of the calls that a node has at one target."""

from typing import Final

from mustardspur_core.units import MS_PER_S

_SLOWDOWN: Final = 0.9
_REFUSAL_BACKOFF: Final = 0.8
# A latency of twice the floor plus the slack shows that calls queue at the
# target. The slack keeps the node's own event loop from counting as a queue:
# at saturation it adds up to 10 ms, and 5 ms cut the limit of idle targets.
_QUEUEING_FACTOR: Final = 2.0
_QUEUEING_SLACK_MS: Final = 20.0
# The floor rises slowly, so that a target that became slower for good gets
# a new floor after some thousand calls.
_FLOOR_RISE: Final = 1.001
# One slow call can be the machine's fault; a queue makes most of them slow.
_SLOW_SHARE: Final = 0.5
_SMOOTHING: Final = 0.1
# A target with fewer slots has none to spare; there the order of the queue
# alone puts the quick class first.
_SLOTS_PER_RESERVED: Final = 8
# Two calls at least, so that a slot stays free of calls of lower priority.
_LOWEST_LIMIT: Final = 2.0


class AdaptiveLimit:
    """Concurrency limit by additive increase, multiplicative decrease.

    Explanation
    ===========

    Latencies are compared with the lowest of the same route, since a quick
    check and a bulk call at one target differ without any queueing.

    Parameters
    ----------
    slots : int
        Calls that the target runs at a time; more would only queue there.
    """

    __slots__ = (
        '_ceiling',
        '_floor_ms_by_route',
        '_next_cut_at',
        '_slow_share',
        'current',
    )

    def __init__(self, slots: int) -> None:
        """Start at the target's slots."""
        self._ceiling = float(max(slots, 1))
        self._floor_ms_by_route: dict[str, float] = {}
        self._next_cut_at: float = 0
        self._slow_share: float = 0
        self.current = self._ceiling

    @property
    def reserve(self) -> int:
        """The calls that those of lower priority leave free."""
        return int(self.current / _SLOTS_PER_RESERVED)

    def on_success(
        self,
        route: str,
        latency_ms: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Grow while the limit is in use, shrink while calls queue."""
        floor_ms = self._floor_ms_by_route.get(route, latency_ms)
        floor_ms = min(latency_ms, floor_ms * _FLOOR_RISE)
        self._floor_ms_by_route[route] = floor_ms
        if in_flight * 2 < self.current:
            return
        bound_ms = floor_ms * _QUEUEING_FACTOR + _QUEUEING_SLACK_MS
        slow = latency_ms > bound_ms
        self._slow_share += (slow - self._slow_share) * _SMOOTHING
        if self._slow_share > _SLOW_SHARE:
            self._cut(_SLOWDOWN, latency_ms, now)
        elif not slow and self.current < self._ceiling:
            self.current = min(self.current + 1 / self.current, self._ceiling)

    def on_refusal(self, latency_ms: float, now: float) -> None:
        """Shrink after the target refused or did not answer in time."""
        self._cut(_REFUSAL_BACKOFF, latency_ms, now)

    def _cut(self, factor: float, latency_ms: float, now: float) -> None:
        # All calls of one round trip see the same queue; one cut is enough.
        if now < self._next_cut_at:
            return
        self._next_cut_at = now + latency_ms / MS_PER_S
        lowest = min(_LOWEST_LIMIT, self._ceiling)
        self.current = max(lowest, self.current * factor)
