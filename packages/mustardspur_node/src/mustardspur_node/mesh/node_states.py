"""State of the targets of other nodes, as a node knows it."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.group_means import TargetGroup


class NodeState:
    """Reported and estimated state of the local target of a node.

    Attributes
    ----------
    load : TargetLoad or None
        Last report, None before the first one.
    load_s : float
        Time on the event loop's clock at which it was received.
    sent_since_report : int
        Own calls that were sent after it.
    avoided_until_s : float
        Time until which the node is avoided.
    in_flight : int
        Own calls at the target that have not ended.
    unreported : dict of object to float
        Own calls in flight that the last report does not contain: the time
        on the event loop's clock from which on a report contains them.
    group : tuple of str or None
        Service and data centre of the target, None before the first own call.
    """

    __slots__ = (
        'avoided_until_s',
        'group',
        'in_flight',
        'load',
        'load_s',
        'sent_since_report',
        'unreported',
    )

    def __init__(self) -> None:
        """Initialise without a report."""
        self.load: TargetLoad | None = None
        self.load_s: float = 0
        self.sent_since_report = 0
        self.avoided_until_s: float = 0
        self.in_flight = 0
        self.unreported: dict[object, float] = {}
        self.group: TargetGroup | None = None

    def record_load(self, load: TargetLoad) -> None:
        """Store a report that is received now."""
        self.load = load
        self.load_s = _now()
        self.sent_since_report = 0
        if self.unreported:
            self.unreported = {
                call: contained_s
                for call, contained_s in self.unreported.items()
                if contained_s > self.load_s
            }

    @contextmanager
    def own_call(
        self, target: MeshTarget, round_trip_ms: float
    ) -> Iterator[None]:
        """Count an own call as in flight for the duration of a block.

        Parameters
        ----------
        target : MeshTarget
            The target.
        round_trip_ms : float
            Time after which a report that is received contains the call.
        """
        call = object()
        self.group = (target.service, target.data_centre)
        self.unreported[call] = _now() + round_trip_ms / MS_PER_S
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            self.unreported.pop(call, None)


def _now() -> float:
    return asyncio.get_running_loop().time()
