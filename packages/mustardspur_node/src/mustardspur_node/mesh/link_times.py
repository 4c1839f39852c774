"""Choice of the target for a call with a large body."""

import asyncio
import random
from typing import Final, Protocol

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.settings import Settings
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.distances import Distances
from mustardspur_node.mesh.link_rate import transfer_ms

# Targets that are compared; with more, concurrent calls of many nodes would
# all select the same one.
SAMPLE_SIZE: Final = 3


class TargetTimes(Protocol):
    """Expected times at targets without the transfer of a body."""

    distances: Distances

    def expected_ms(self, target: MeshTarget) -> float:
        """Return the expected time of a call with penalties."""

    def run_ms(self, target: MeshTarget) -> float:
        """Return the mean run time at a target."""


class LinkTimes:
    """Reported backlog of the links of nodes.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    random_source : random.Random
        Source of the samples that are compared.
    """

    __slots__ = ('_free_s_by_node', '_random', '_settings')

    def __init__(
        self,
        settings: Settings,
        random_source: random.Random,
    ) -> None:
        """Initialise without reports."""
        self._settings = settings
        self._random = random_source
        # Time at which the link of a node has carried its backlog.
        self._free_s_by_node: dict[str, float] = {}

    def record(self, node: str, load: TargetLoad) -> None:
        """Store the backlog that a node reports, if there is any."""
        if load.link_wait_ms:
            free_s = _now() + load.link_wait_ms / MS_PER_S
            self._free_s_by_node[node] = free_s
        else:
            self._free_s_by_node.pop(node, None)

    def choose(
        self,
        times: TargetTimes,
        targets: list[MeshTarget],
        useful_ms: float,
        body_bytes: int,
    ) -> MeshTarget | None:
        """Return the best of the nearest targets whose link has capacity.

        Explanation
        ===========

        A body crosses a link between data centres or regions, which is paid
        for, only if no nearer target can have it complete in time.

        Parameters
        ----------
        times : TargetTimes
            Expected times at the targets.
        targets : list of MeshTarget
            Targets that have a slot in time.
        useful_ms : float
            Time in which the answer is within its objective.
        body_bytes : int
            Size of the body.
        """
        link_ms = {
            target.node: self._link_ms(target, body_bytes) for target in targets
        }
        distances = {
            target.node: times.distances.distance(target)
            for target in targets
            if link_ms[target.node]
            + times.run_ms(target)
            + times.distances.round_trip_ms(target)
            <= useful_ms
        }
        least = min(distances.values(), default=None)
        nearest = [
            target for target in targets if distances.get(target.node) == least
        ]
        if least is None:
            return None
        if len(nearest) > SAMPLE_SIZE:
            nearest = self._random.sample(nearest, SAMPLE_SIZE)
        return min(
            nearest,
            key=lambda target: times.expected_ms(target) + link_ms[target.node],
        )

    def _link_ms(self, target: MeshTarget, body_bytes: int) -> float:
        """Return the time of a body on the link; 0 on this instance."""
        mesh = self._settings.mesh
        if mesh is None or target.node == self._settings.listen.stream:
            return 0
        wait_s = self._free_s_by_node.get(target.node, 0) - _now()
        own_ms = transfer_ms(body_bytes, mesh.link_mbps)
        return max(wait_s * MS_PER_S, 0) + own_ms


def _now() -> float:
    return asyncio.get_running_loop().time()
