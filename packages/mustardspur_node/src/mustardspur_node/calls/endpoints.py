"""A target as this node sees it."""

from typing import Protocol

from mustardspur_core.state import Target
from mustardspur_core.world import Distance

from mustardspur_node.calls.call_classes import LimitedClass
from mustardspur_node.calls.channels import Channel
from mustardspur_node.calls.limits import AdaptiveLimit
from mustardspur_node.calls.links import LinkMeter
from mustardspur_node.calls.observations import Observations
from mustardspur_node.calls.ramps import Ramp
from mustardspur_node.calls.waiting import WaitingCalls


class EjectionPolicy(Protocol):
    """Decides whether a failing target is ejected."""

    def on_failure(
        self,
        endpoint: 'Endpoint',
        now: float,
        *,
        unreachable: bool,
    ) -> bool:
        """Eject the target where it has to go and may; say whether."""


class Ejection:
    """Whether and for how long a target is ejected.

    Parameters
    ----------
    failing : bool
        Whether it ought to be ejected, even where a bound forbids it.
    until : float
        Loop's clock in seconds at which it may return, 0 if not ejected.
    count : int
        Ejections in a row.
    policy : EjectionPolicy or None
        Policy of the targets of its version.
    """

    __slots__ = ('count', 'failing', 'policy', 'until')

    def __init__(self) -> None:
        """Start in use."""
        self.failing = False
        self.until: float = 0
        self.count = 0
        self.policy: EjectionPolicy | None = None


class Endpoint:
    """A target with this node's own observations of it.

    Parameters
    ----------
    target : Target
        What it announced.
    distance : Distance
        How far it is from this node.
    meter : LinkMeter or None
        The paid link on the way.
    channel : Channel
        Connections to it.
    ramp : Ramp
        Share that it gets at first.
    """

    __slots__ = (
        '_in_flight_by_class',
        'channel',
        'distance',
        'ejection',
        'in_flight',
        'limit',
        'meter',
        'next_probe_at',
        'ramp',
        'seen',
        'target',
        'waiting',
    )

    def __init__(
        self,
        target: Target,
        distance: Distance,
        meter: LinkMeter | None,
        channel: Channel,
        ramp: Ramp,
    ) -> None:
        """Start without any observation."""
        self.target = target
        self.distance = distance
        self.meter = meter
        self.channel = channel
        self.ramp = ramp
        self.limit = AdaptiveLimit(target.slots)
        self.waiting = WaitingCalls()
        self.in_flight = 0
        self._in_flight_by_class: dict[str, int] = {}
        self.seen = Observations()
        self.ejection = Ejection()
        self.next_probe_at: float = 0

    def has_room(self, call_class: LimitedClass, now: float) -> bool:
        """Return whether another call of a class may go there now."""
        if self.ejection.until or not self._below_limit(call_class, now):
            return False
        in_class = self._in_flight_by_class.get(call_class.name, 0)
        if in_class >= call_class.limit:
            return False
        return self.meter is None or self.meter.allows(now)

    def score(self) -> float:
        """Return the expected wait of another call, lower is better."""
        return (self.in_flight + 1) * self.seen.cost_ms

    def enter(self, call_class: LimitedClass) -> None:
        """Count a call that goes there."""
        in_class = self._in_flight_by_class
        in_class[call_class.name] = in_class.get(call_class.name, 0) + 1
        self.in_flight += 1

    def leave(self, call_class: LimitedClass) -> None:
        """Count a call that ended in any way."""
        self._in_flight_by_class[call_class.name] -= 1
        self.in_flight -= 1

    def on_success(self, route: str, latency_ms: float, now: float) -> None:
        """Take a complete answer into account."""
        self.limit.on_success(route, latency_ms, self.in_flight, now)
        self.seen.success(latency_ms)

    def on_refusal(self, latency_ms: float, now: float) -> None:
        """Take a documented refusal into account."""
        self.limit.on_refusal(latency_ms, now)
        self.seen.refusal()

    def on_failure(self, latency_ms: float, now: float) -> None:
        """Take a failed call into account."""
        self.limit.on_refusal(latency_ms, now)
        self.seen.failure(now)

    def _below_limit(self, call_class: LimitedClass, now: float) -> bool:
        allowed = self.limit.current
        if self.ramp.active(now):
            allowed = max(1.0, allowed * self.ramp.share(now))
        elif call_class.leaves_reserve:
            allowed = max(1.0, allowed - self.limit.reserve)
        return self.in_flight < allowed
