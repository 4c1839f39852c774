"""Policy that waits at the target with the least expected time."""

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.balancing.limits import may_place
from mustardspur_node.mesh.balancing.registry import (
    Knowledge,
    Offer,
    balancing_policy,
)
from mustardspur_node.mesh.call_progress import CallProgress
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
        untried = [
            target
            for target in targets
            if target.node not in progress.tried_nodes
        ]
        target = self._chooser.choose(
            untried,
            progress.useful_ms(),
            progress.max_wait_ms(),
        )
        return Offer(target, progress.max_wait_ms()) if target else None
