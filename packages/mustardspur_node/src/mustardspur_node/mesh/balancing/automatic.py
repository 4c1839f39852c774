"""Policy that selects another one by the number of targets."""

from typing import Final

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.balancing.first_free import FirstFree
from mustardspur_node.mesh.balancing.least_expected import (
    BoundedLeastExpected,
)
from mustardspur_node.mesh.balancing.registry import (
    Knowledge,
    Offer,
    balancing_policy,
)
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.route_run_times import RouteRunTimes

# Ready targets of a service from which on a node calls each of them so seldom
# that its last report is older than a run.
MANY_TARGETS: Final = 12


@balancing_policy('auto', RouteRunTimes)
class Automatic:
    """Uses `FirstFree` for services with many targets.

    For others it uses `BoundedLeastExpected`.

    Parameters
    ----------
    knowledge : Knowledge
        What the node knows of the targets.
    """

    __slots__ = ('_few', '_many', '_view')

    def __init__(self, knowledge: Knowledge) -> None:
        """Initialise both policies."""
        self._view = knowledge.view
        self._few = BoundedLeastExpected(knowledge)
        self._many = FirstFree(knowledge)

    def next_offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
    ) -> Offer | None:
        """Return the offer of the policy for the size of the service.

        The size is that of the whole service, since all calls to it share
        its targets, also those that only some of the targets may run.
        """
        count = len(targets)
        if count < MANY_TARGETS:
            count = len(self._view.ready_targets(progress.service))
        policy = self._many if count >= MANY_TARGETS else self._few
        return policy.next_offer(progress, targets)
