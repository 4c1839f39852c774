"""Estimates of the state of targets now from their last reports."""

import asyncio
import math
from typing import Final

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.chooser import FAILURE_PENALTY_MS, TargetChooser
from mustardspur_node.mesh.node_states import NodeState
from mustardspur_node.mesh.run_times import INITIAL_RUN_MS

# Upper bound of the mean utilisation that the calls of other nodes are
# assumed to cause. With a higher one, a target that was reported full would
# count as full until its next report, which only a call brings.
MAX_UTILISATION: Final = 0.9
# Mean utilisation from which on most offers are refused, as a full target
# refuses several offers for each call that it runs.
NEARLY_FULL: Final = 0.97
# Age of the newest report from which on the mean says nothing: in this time a
# full target ends more runs than it has slots.
NEARLY_FULL_MAX_AGE_S: Final = 0.25
# Age from which on a report says nothing about the free slots: a service whose
# reports were all full is asked again.
REPORT_MAX_AGE_S: Final = 1.0
# Least run time for the weights, relative to the mean of the group. A target
# that has just joined reports a short time before its first run has ended, and
# nodes keep that report until they call it again.
MIN_RUN_FRACTION: Final = 0.5
# Expected free slots below which a target counts as full. An offer costs
# processor time at two nodes, so it needs some chance of a slot.
MIN_FREE_SLOTS: Final = 0.1


class LoadEstimates:
    """Estimates the free slots of targets and the wait for one.

    Explanation
    ===========

    A report is old by up to seconds. Of the calls that it contains, a part
    that falls exponentially with the run time still runs; the calls of other
    nodes since then approach the mean utilisation of the service in the same
    measure. Own calls that the report does not contain are added.

    Parameters
    ----------
    chooser : TargetChooser
        Last reports, own calls and run times of the targets.
    """

    __slots__ = ('_chooser',)

    def __init__(self, chooser: TargetChooser) -> None:
        """Initialise with the reports that the chooser receives."""
        self._chooser = chooser

    def weights(self, targets: list[MeshTarget]) -> list[float]:
        """Return the weights of targets for an offer.

        Explanation
        ===========

        The weight is the rate at which a target ends calls, less the part
        that own calls in flight use. A target that is expected to have less
        than one free slot has less weight, and a full one none.
        """
        now_s = _now()
        means_of = self._means
        state_of = self._chooser.state_of
        may_offer = self._chooser.may_offer
        return [
            _weight(target, state_of(target.node), now_s, means_of(target))
            if may_offer(target)
            else 0
            for target in targets
        ]

    def is_in_time(
        self,
        target: MeshTarget,
        max_wait_ms: float,
        useful_ms: float,
    ) -> bool:
        """Return whether a target would most likely answer a call in time.

        Parameters
        ----------
        target : MeshTarget
            The target.
        max_wait_ms : float
            Longest useful wait for a slot.
        useful_ms : float
            Time in which an answer keeps most of its value.
        """
        state = self._chooser.state_of(target.node)
        means = self._means(target)
        slots, run_ms, open_calls = _now_at(target, state, _now(), means)
        wait_ms = max(open_calls + 1 - slots, 0) * run_ms / slots
        if wait_ms > max_wait_ms:
            return False
        round_trip_ms = self._chooser.distances.round_trip_ms(target)
        return wait_ms + run_ms + round_trip_ms <= useful_ms

    def is_nearly_full(self, target: MeshTarget) -> bool:
        """Return whether most targets in the group of a target are full."""
        group = (target.service, target.data_centre)
        means = self._chooser.means_by_group.get(group)
        if means is None or means.utilisation <= NEARLY_FULL:
            return False
        return _now() - means.recorded_s < NEARLY_FULL_MAX_AGE_S

    def queued_part(self, target: MeshTarget) -> float:
        """Return the part of the targets in a group at which calls wait."""
        group = (target.service, target.data_centre)
        means = self._chooser.means_by_group.get(group)
        return means.queued_part if means else 0

    def _means(self, target: MeshTarget) -> tuple[float, float]:
        """Return the utilisation and run time that are usual in its group."""
        group = (target.service, target.data_centre)
        means = self._chooser.means_by_group.get(group)
        if means is None:
            return 0, INITIAL_RUN_MS
        return min(means.utilisation, MAX_UTILISATION), max(means.run_ms, 1)


def _weight(
    target: MeshTarget,
    state: NodeState,
    now_s: float,
    means: tuple[float, float],
) -> float:
    slots, run_ms, open_calls = _now_at(target, state, now_s, means)
    own_free = slots - state.in_flight
    free = min(slots - open_calls, own_free)
    if free < MIN_FREE_SLOTS:
        return 0
    cost_ms = max(run_ms, means[1] * MIN_RUN_FRACTION)
    if state.load:
        # A target that fails calls ends them early and has free slots.
        cost_ms += state.load.failure_rate * FAILURE_PENALTY_MS
    return min(free, 1) * own_free / cost_ms


def _now_at(
    target: MeshTarget,
    state: NodeState,
    now_s: float,
    means: tuple[float, float],
) -> tuple[int, float, float]:
    """Return the slots, the run time and the open calls of a target now.

    A target without a report has the means of its service.
    """
    utilisation, mean_run_ms = means
    load = state.load
    if load is None:
        slots = target.slots or 1
        return slots, mean_run_ms, slots * utilisation + len(state.unreported)
    slots = load.slots or 1
    run_ms = load.run_ms or 1
    open_calls = slots * utilisation
    age_s = now_s - state.load_s
    if age_s < REPORT_MAX_AGE_S:
        decay = math.exp(-age_s * MS_PER_S / run_ms)
        open_calls += (load.running + load.waiting - open_calls) * decay
    return slots, run_ms, open_calls + len(state.unreported)


def _now() -> float:
    return asyncio.get_running_loop().time()
