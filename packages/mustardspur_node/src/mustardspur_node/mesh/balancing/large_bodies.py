"""Selection of the targets of calls with large bodies."""

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.balancing.limits import may_place
from mustardspur_node.mesh.balancing.registry import Knowledge, Offer
from mustardspur_node.mesh.call_progress import CallProgress, in_time_ms


class LargeBodies:
    """Places calls with large bodies by the backlog of links.

    The link of the target's instance is scarcer than its slots, so no first
    offers are made; the body waits for the link where it is placed.

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
            in_time_ms(progress),
            progress.max_wait_ms(),
            len(progress.call.body),
        )
        return Offer(target, progress.max_wait_ms()) if target else None
