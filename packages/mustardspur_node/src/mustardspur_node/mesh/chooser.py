"""Selection of the target for a call."""

import asyncio
import random
from itertools import chain
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.settings import Settings

from mustardspur_node.mesh.cold_targets import AnnouncedColdTargets
from mustardspur_node.mesh.distances import Distances
from mustardspur_node.mesh.group_means import (
    GroupMeans,
    TargetGroup,
    record_report,
)
from mustardspur_node.mesh.link_times import LinkTimes
from mustardspur_node.mesh.node_states import NodeState
from mustardspur_node.mesh.run_times import INITIAL_RUN_MS

# Penalty on the expected time at a target whose runs all fail.
FAILURE_PENALTY_MS: Final = 400.0
# Relative increase of the run time when all slots of a target are in use.
FULL_SLOWDOWN: Final = 0.6
# Time for which a node is avoided after it could not be reached.
AVOID_UNREACHABLE_S: Final = 0.7
# Time for which a target is avoided after its node reported that it takes no
# calls. Without calls no further report comes, so a later call asks again; a
# target that leaves is announced as such.
AVOID_CLOSED_S: Final = 0.5
# Targets that are compared for a call in each of the groups by distance; with
# more, concurrent calls would all select the same target.
SAMPLE_SIZE: Final = 3


class TargetChooser:
    """Selects targets by reported load, expected time and distance.

    Parameters
    ----------
    settings : Settings
        Data centre and region of this node.
    random_source : random.Random
        Source of the samples that are compared.

    Attributes
    ----------
    distances : Distances
        Round-trip times and traffic costs.
    means_by_group : dict of GroupMeans
        Means over the reports of the targets that were called, by service
        and data centre.
    """

    __slots__ = (
        '_assumed_run_ms',
        '_links',
        '_random',
        '_settings',
        '_states_by_node',
        'cold',
        'distances',
        'means_by_group',
    )

    def __init__(
        self,
        settings: Settings,
        random_source: random.Random,
    ) -> None:
        """Initialise without load reports."""
        self._settings = settings
        self._random = random_source
        self.distances = Distances(settings)
        self.means_by_group: dict[TargetGroup, GroupMeans] = {}
        self._states_by_node: dict[str, NodeState] = {}
        self.cold = AnnouncedColdTargets(random_source)
        self._links = LinkTimes(settings, random_source)
        # Mean run time of the known targets by service.
        self._assumed_run_ms: dict[str, float] = {}

    def record_load(self, node: str, load: TargetLoad) -> None:
        """Store the load of a target that its node reports."""
        state = self.state_of(node)
        state.record_load(load)
        if state.group:
            record_report(self.means_by_group, state.group, load)
        self._links.record(node, load)

    def record_sent(self, node: str) -> None:
        """Count a call that is sent to a node after its last report."""
        self.state_of(node).sent_since_report += 1

    def mark_unreachable(self, node: str) -> None:
        """Avoid a node without a reachable target for a short time."""
        state = self.state_of(node)
        state.avoided_until_s = _now() + AVOID_UNREACHABLE_S

    def choose(
        self,
        targets: list[MeshTarget],
        useful_ms: float,
        max_wait_ms: float,
        body_bytes: int = 0,
    ) -> MeshTarget | None:
        """Return the best target of a random sample, None if there is none.

        Explanation
        ===========

        The sample has targets of the own data centre, of the own region and
        of other regions, so that a call leaves its data centre or region only
        if the time saved exceeds the traffic cost, however many targets there
        are. Targets whose load report shows too long a wait for the call are
        excluded, since their refusal would cost traffic and time.

        A target without a load report is assumed to be as fast as the others
        of its service on average. If it were assumed to be faster, a node
        would go on calling unknown targets where there are hundreds.

        Parameters
        ----------
        targets : list of MeshTarget
            Targets that may run the call.
        useful_ms : float
            Time in which an answer keeps most of its value.
        max_wait_ms : float
            Longest useful wait for a slot.
        body_bytes : int
            Size of a large body, 0 for other bodies.
        """
        available = [
            target for target in targets if self.is_available(target)
        ] or targets
        eligible = [
            target
            for target in available
            if self._fits(target, useful_ms, max_wait_ms)
        ]
        self._update_assumed_run(targets)
        if body_bytes:
            return self._links.choose(self, eligible, useful_ms, body_bytes)
        groups: dict[int, list[MeshTarget]] = {}
        for target in eligible:
            distance = self.distances.distance(target)
            groups.setdefault(distance, []).append(target)
        samples = [self._sample(group) for group in groups.values()]
        chosen = min(chain(*samples), key=self.expected_ms, default=None)
        if chosen is not None:
            self.cold.record_chosen(chosen)
        return chosen

    def expected_ms(self, target: MeshTarget) -> float:
        """Return the expected time of a call at a target with penalties.

        The time includes the run, the wait for a slot and the round trip;
        the penalties are those for paid traffic and for failures.
        """
        state = self.state_of(target.node)
        slots = max(target.slots, 1)
        reported = state.load is not None
        run_ms = self.cold.run_ms(
            target,
            self.run_ms(target),
            reported=reported,
        )
        open_calls = self._open_calls(state)
        utilisation = min(open_calls / slots, 1.0)
        queued = max(open_calls + 1 - slots, 0) / slots
        failure_rate = state.load.failure_rate if state.load else 0
        return (
            run_ms * (1 + FULL_SLOWDOWN * utilisation * utilisation + queued)
            + self.distances.round_trip_ms(target)
            + self.distances.traffic_cost_ms(target)
            + failure_rate * FAILURE_PENALTY_MS
        )

    def run_ms(self, target: MeshTarget) -> float:
        """Return the mean run time at a target in milliseconds."""
        load = self.state_of(target.node).load
        if load is not None:
            return load.run_ms
        group = self.means_by_group.get((target.service, target.data_centre))
        mean_ms = group.run_ms if group else INITIAL_RUN_MS
        return self._assumed_run_ms.get(target.service, mean_ms)

    def is_available(self, target: MeshTarget) -> bool:
        """Return whether a target is reachable and open, as far as known.

        A report of a target that was cold is discarded once the target is
        warm. It states a low capacity, for which the target would not be
        called, and only a call brings another report.
        """
        state = self.state_of(target.node)
        if state.load and self.cold.has_warmed_since(target, state.load_s):
            state.load = None
        if _now() < state.avoided_until_s:
            return False
        if state.load is None or state.load.open:
            return True
        return _now() - state.load_s > AVOID_CLOSED_S

    def may_offer(self, target: MeshTarget) -> bool:
        """Return whether a call may be offered to a target now.

        A cold target without a recent report is called by each node at a part
        of its bound only.
        """
        if not self.is_available(target):
            return False
        state = self.state_of(target.node)
        max_age_s = self.distances.load_max_age_s(target)
        if state.load is None or _now() - state.load_s > max_age_s:
            return self.cold.may_call(target)
        return True

    def state_of(self, node: str) -> NodeState:
        """Return what is known of the target of a node."""
        state = self._states_by_node.get(node)
        if state is None:
            state = NodeState()
            self._states_by_node[node] = state
        return state

    def _update_assumed_run(self, targets: list[MeshTarget]) -> None:
        """Update the run time that is assumed of targets without a report."""
        loads = [self.state_of(target.node).load for target in targets]
        known_ms = [load.run_ms for load in loads if load is not None]
        if known_ms:
            mean_ms = sum(known_ms) / len(known_ms)
            self._assumed_run_ms[targets[0].service] = mean_ms

    def _sample(self, targets: list[MeshTarget]) -> list[MeshTarget]:
        if len(targets) <= SAMPLE_SIZE:
            return targets
        return self._random.sample(targets, SAMPLE_SIZE)

    def _open_calls(self, state: NodeState) -> int:
        """Return the calls that run, wait or are on their way to a target."""
        if state.load is None:
            return state.sent_since_report
        return state.load.running + state.load.waiting + state.sent_since_report

    def _fits(
        self,
        target: MeshTarget,
        useful_ms: float,
        max_wait_ms: float,
    ) -> bool:
        """Return whether a call would be answered in time at a target.

        A target without a recent load report is assumed to have a free slot;
        a cold one is called by each node at a part of its bound only.
        """
        state = self.state_of(target.node)
        load = state.load
        max_age_s = self.distances.load_max_age_s(target)
        if load is None or _now() - state.load_s > max_age_s:
            return self.cold.may_call(target)
        slots = max(load.slots, 1)
        ahead = self._open_calls(state) + 1 - slots
        if ahead <= 0:
            return True
        wait_ms = ahead * load.run_ms / slots
        if wait_ms > max_wait_ms:
            return False
        return (
            wait_ms + load.run_ms + self.distances.round_trip_ms(target)
            <= useful_ms
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
