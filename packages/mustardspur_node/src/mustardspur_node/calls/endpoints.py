"""State of a target as observed by this node."""

from typing import Protocol

from mustardspur_core.locations import Distance
from mustardspur_core.state import Target

from mustardspur_node.calls.call_classes import CompiledCallClass
from mustardspur_node.calls.channels import TargetChannel
from mustardspur_node.calls.limits import AdaptiveLimit
from mustardspur_node.calls.links import LinkMeter
from mustardspur_node.calls.observations import Observations
from mustardspur_node.calls.pending_calls import PendingCalls
from mustardspur_node.calls.slow_start import SlowStart


class EjectionPolicy(Protocol):
    """Interface that decides whether a failing target is ejected."""

    def on_failure(
        self,
        endpoint: 'Endpoint',
        now: float,
        *,
        unreachable: bool,
    ) -> bool:
        """Eject the target if required and permitted; return whether."""


class Ejection:
    """Ejection state of a target.

    Attributes
    ----------
    failing : bool
        Whether the target exceeds a threshold, even if a bound forbids its
        ejection.
    until : float
        Time of the event loop in seconds at which the ejection ends, 0 if
        the target is not ejected.
    count : int
        Ejections in a row, up to the maximum ejection time.
    policy : EjectionPolicy or None
        Policy of the targets of its version.
    """

    __slots__ = ('count', 'failing', 'policy', 'until')

    def __init__(self) -> None:
        """Initialise as not ejected."""
        self.failing = False
        self.until: float = 0
        self.count = 0
        self.policy: EjectionPolicy | None = None


class Endpoint:
    """A target with its limits and the observations of this node.

    Parameters
    ----------
    target : Target
        The target as announced.
    distance : Distance
        Distance from this node.
    link_meter : LinkMeter or None
        Meter of the paid link to the target, None if there is none.
    channel : TargetChannel
        Connections to the target.
    slow_start : SlowStart
        Share of its traffic that the target receives at first.
    """

    __slots__ = (
        '_in_flight_by_class',
        'channel',
        'distance',
        'ejection',
        'in_flight',
        'limit',
        'link_meter',
        'next_probe_at',
        'observations',
        'pending',
        'slow_start',
        'target',
    )

    def __init__(
        self,
        target: Target,
        distance: Distance,
        link_meter: LinkMeter | None,
        channel: TargetChannel,
        slow_start: SlowStart,
    ) -> None:
        """Initialise without observations."""
        self.target = target
        self.distance = distance
        self.link_meter = link_meter
        self.channel = channel
        self.slow_start = slow_start
        self.limit = AdaptiveLimit(target.slots)
        self.pending = PendingCalls()
        self.in_flight = 0
        self._in_flight_by_class: dict[str, int] = {}
        self.observations = Observations()
        self.ejection = Ejection()
        self.next_probe_at: float = 0

    def has_capacity(self, call_class: CompiledCallClass, now: float) -> bool:
        """Return whether the target may receive another call of a class."""
        if self.ejection.until or not self._below_limit(call_class, now):
            return False
        in_class = self._in_flight_by_class.get(call_class.name, 0)
        if in_class >= call_class.limit:
            return False
        return self.link_meter is None or self.link_meter.allows(now)

    def score(self) -> float:
        """Return the expected wait of another call in milliseconds."""
        return (self.in_flight + 1) * self.observations.cost_ms

    def acquire(self, call_class: CompiledCallClass) -> None:
        """Acquire a slot for a call."""
        in_class = self._in_flight_by_class
        in_class[call_class.name] = in_class.get(call_class.name, 0) + 1
        self.in_flight += 1

    def release(self, call_class: CompiledCallClass) -> None:
        """Release the slot of a call that ended."""
        self._in_flight_by_class[call_class.name] -= 1
        self.in_flight -= 1

    def on_success(self, route: str, latency_ms: float, now: float) -> None:
        """Update limit and observations after a complete response."""
        self.limit.on_success(route, latency_ms, self.in_flight, now)
        self.observations.record_success(latency_ms)

    def on_refusal(self, latency_ms: float, now: float) -> None:
        """Update limit and observations after a refusal."""
        self.limit.on_refusal(latency_ms, now)
        self.observations.record_refusal()

    def on_failure(self, latency_ms: float, now: float) -> None:
        """Update limit and observations after a failed call."""
        self.limit.on_refusal(latency_ms, now)
        self.observations.record_failure(now)

    def _below_limit(self, call_class: CompiledCallClass, now: float) -> bool:
        allowed = self.limit.current
        if self.slow_start.active(now):
            allowed = max(1.0, allowed * self.slow_start.share(now))
        elif call_class.leaves_reserve:
            allowed = max(1.0, allowed - self.limit.reserve)
        return self.in_flight < allowed
