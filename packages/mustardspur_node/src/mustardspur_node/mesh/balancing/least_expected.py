"""Policy that waits at the target with the least expected time."""

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.balancing.limits import (
    MAX_REFUSED_WAITS,
    may_place,
    refused_waits,
)
from mustardspur_node.mesh.balancing.registry import (
    Knowledge,
    Offer,
    balancing_policy,
)
from mustardspur_node.mesh.balancing.spillover import Spillover
from mustardspur_node.mesh.call_progress import CallProgress, left_wait_ms
from mustardspur_node.mesh.run_times import RunTimes


@balancing_policy('least_expected', RunTimes)
class LeastExpected:
    """Places a call on the target with the least expected time of a sample.

    Parameters
    ----------
    knowledge : Knowledge
        What the node knows of the targets.
    """

    __slots__ = ('_chooser',)

    def __init__(self, knowledge: Knowledge) -> None:
        """Initialise with the chooser of the node."""
        self._chooser = knowledge.chooser

    def next_offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
    ) -> Offer | None:
        """Return the best target that was not tried, with the useful wait."""
        if not may_place(progress):
            return None
        return self._offer(progress, targets, progress.max_wait_ms())

    def _offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
        max_wait_ms: float,
    ) -> Offer | None:
        untried = [
            target
            for target in targets
            if target.node not in progress.tried_nodes
        ]
        target = self._chooser.choose(
            untried,
            progress.useful_ms(),
            max_wait_ms,
        )
        return Offer(target, max_wait_ms) if target else None


class BoundedLeastExpected(LeastExpected):
    """Gives up after two refusals, or once the longest useful wait is over.

    Under overload, further targets would most likely refuse a call as well,
    and each offer costs processor time at two nodes. A call that leaves its
    region, as `Spillover` decides, is placed in another one first.

    Parameters
    ----------
    knowledge : Knowledge
        What the node knows of the targets.
    """

    __slots__ = ('_spillover',)

    def __init__(self, knowledge: Knowledge) -> None:
        """Initialise without a shortage."""
        super().__init__(knowledge)
        self._spillover = Spillover(knowledge)

    def next_offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
    ) -> Offer | None:
        """Return the best target that was not tried, with the wait left."""
        if not may_place(progress):
            return None
        if refused_waits(progress, targets) >= MAX_REFUSED_WAITS:
            return None
        max_wait_ms = left_wait_ms(progress)
        offer = self._spilled_offer(progress, targets, max_wait_ms)
        return offer or self._offer(progress, targets, max_wait_ms)

    def _spilled_offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
        max_wait_ms: float,
    ) -> Offer | None:
        if progress.placements:
            return None
        own, near, far = self._chooser.distances.grouped(targets)
        if not self._spillover.applies(progress, own + near, far):
            return None
        with_room = [each for each in far if self._spillover.has_room(each)]
        offer = self._offer(progress, with_room, max_wait_ms)
        return offer._replace(is_spilled=True) if offer else None
