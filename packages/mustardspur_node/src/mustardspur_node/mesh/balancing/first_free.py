"""Policy that offers a call to free targets before it waits for a slot."""

from itertools import islice
from typing import Final

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.balancing.estimates import LoadEstimates
from mustardspur_node.mesh.balancing.limits import (
    MAX_REFUSED_FAR_WAITS,
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
from mustardspur_node.mesh.route_run_times import RouteRunTimes

# First offers that may be refused by targets of the own data centre, of the
# own region and of other regions. With two in the region, some of 80 calls
# within 50 ms waited while a fifth of the slots was idle. An offer to another
# region crosses a paid link and takes 40 ms.
MAX_REFUSALS: Final = (3, 5, 1)
# Part of the targets of a data centre with a queue up to which it gets all
# first offers, and none from another region beyond it, whose refusal costs
# 40 ms and paid bytes. The part is 0.06 at a load of 0.9 and 0.2 at 0.95.
FEW_QUEUED_PART: Final = 0.25
# Part from which on it gets no first offers, as nearly all would be refused.
# With 0.5, calls waited at a load of 1 while 0.06 of the slots were idle; with
# 0.95, a call was offered 2.6 times at a load of 1.5.
MOST_QUEUED_PART: Final = 0.75
# Targets that are compared for a wait; with more, concurrent calls would all
# wait at the same target.
SAMPLE_SIZE: Final = 3
# A larger body would cost more on the way than the wait that an offer saves,
# so such calls wait where they are placed.
MAX_OFFERED_BODY_BYTES: Final = 16_384
# Index of the targets of other regions in the groups by distance.
_OTHER_REGIONS: Final = 2


@balancing_policy('first_free', RouteRunTimes)
class FirstFree:
    """Offers a call to free targets in random order, then lets it wait.

    Explanation
    ===========

    Reports of targets are older than a run where many nodes call many
    targets, so the best target by reports is the same one for all nodes and is
    overrun. A random order spreads the calls, and the nodes beside the
    targets, which know the load exactly, refuse what does not fit.

    First offers go to the own data centre and then to the region. If all are
    refused, the call waits at the target with the least expected time among
    those that just answered, whose reports are fresh. Other regions follow
    if no near target can answer in time. Targets that a fresh report shows to
    be full are not asked.

    The more targets of a data centre have a queue, the fewer first offers are
    made there. While half of them have one, a call is placed for a wait at
    once, which finds a free slot as well. After the refusals in `limits`, or
    after its longest useful wait, the call gives up.

    Parameters
    ----------
    knowledge : Knowledge
        What the node knows of the targets.
    """

    __slots__ = ('_chooser', '_random', '_spillover', 'estimates')

    def __init__(self, knowledge: Knowledge) -> None:
        """Initialise without estimates."""
        self._chooser = knowledge.chooser
        self._random = knowledge.random_source
        self._spillover = Spillover(knowledge)
        self.estimates = LoadEstimates(knowledge.chooser)

    def next_offer(
        self,
        progress: CallProgress,
        targets: list[MeshTarget],
    ) -> Offer | None:
        """Return the next first offer or wait, None if the call gives up."""
        if not may_place(progress):
            return None
        groups = self._chooser.distances.grouped(targets)
        near = [each for group in groups[:_OTHER_REGIONS] for each in group]
        far = groups[_OTHER_REGIONS]
        offer = self._spilled_offer(progress, near, far)
        if offer is None:
            offer = self._first_offer(progress, groups[:_OTHER_REGIONS])
        if offer is None:
            if refused_waits(progress, near) < MAX_REFUSED_WAITS:
                offer = self._wait(progress, near)
        if offer is None:
            offer = self._far_offer(progress, far, has_near=bool(near))
        if offer is not None:
            self._chooser.cold.record_chosen(offer.target)
        return offer

    def _spilled_offer(
        self,
        progress: CallProgress,
        near: list[MeshTarget],
        far: list[MeshTarget],
    ) -> Offer | None:
        """Return an offer to another region for a call that leaves its own.

        The call may wait there, since a refusal costs 40 ms. A call that was
        refused is placed as any other one.
        """
        if progress.placements:
            return None
        if not self._spillover.applies(progress, near, far):
            return None
        target = self._draw(progress, self._with_room(progress, far))
        if target is None:
            return None
        return Offer(target, left_wait_ms(progress), is_spilled=True)

    def _with_room(
        self,
        progress: CallProgress,
        far: list[MeshTarget],
    ) -> list[MeshTarget]:
        """Return the far targets for calls that leave their region."""
        useful_ms = progress.useful_ms()
        return [
            target
            for target in far
            if self._spillover.has_room(target)
            and not self._is_queued(target)
            and self.estimates.is_in_time(target, 0, useful_ms)
        ]

    def _first_offer(
        self,
        progress: CallProgress,
        groups: list[list[MeshTarget]],
    ) -> Offer | None:
        """Return a first offer to a near target that may have a free slot."""
        for distance, group in enumerate(groups):
            target = self._offered(progress, distance, group)
            if target is not None:
                return _offer_to(progress, target)
        return None

    def _far_offer(
        self,
        progress: CallProgress,
        far: list[MeshTarget],
        *,
        has_near: bool,
    ) -> Offer | None:
        """Return an offer to, or a wait at, a target of another region.

        A call that has targets in its own region is asked to wait at one
        target of the others, and only where few targets have a queue.
        """
        longest = MAX_REFUSED_FAR_WAITS if has_near else MAX_REFUSED_WAITS
        if refused_waits(progress, far) >= longest:
            return None
        is_in_time = self.estimates.is_in_time
        max_wait_ms = left_wait_ms(progress)
        useful_ms = progress.useful_ms()
        in_time = [
            target
            for target in far
            if is_in_time(target, max_wait_ms, useful_ms)
            and not (has_near and self._is_queued(target))
        ]
        if not has_near:
            target = self._offered(progress, _OTHER_REGIONS, in_time)
            if target is not None:
                return _offer_to(progress, target)
        return self._wait(progress, in_time)

    def _offered(
        self,
        progress: CallProgress,
        distance: int,
        group: list[MeshTarget],
    ) -> MeshTarget | None:
        """Return the target for a first offer at a distance, if any.

        Where most targets of a data centre are full, a second offer there
        would most likely be refused as well.
        """
        refused = self._refusals(progress, distance)
        if refused >= MAX_REFUSALS[distance]:
            return None
        target = self._draw(progress, group)
        if target is None:
            return None
        missing = MOST_QUEUED_PART - self.estimates.queued_part(target)
        part = min(missing / (MOST_QUEUED_PART - FEW_QUEUED_PART), 1)
        if refused >= MAX_REFUSALS[distance] * part:
            return None
        if refused and self.estimates.is_nearly_full(target):
            return None
        return target

    def _is_queued(self, target: MeshTarget) -> bool:
        """Return whether calls wait at many targets of a data centre."""
        return self.estimates.queued_part(target) >= FEW_QUEUED_PART

    def _draw(
        self,
        progress: CallProgress,
        group: list[MeshTarget],
    ) -> MeshTarget | None:
        """Return a random target that was not tried and may be free."""
        tried = progress.tried_nodes
        untried = [target for target in group if target.node not in tried]
        weights = self.estimates.weights(untried)
        if not any(weights):
            return None
        return self._random.choices(untried, weights)[0]

    def _wait(
        self,
        progress: CallProgress,
        group: list[MeshTarget],
    ) -> Offer | None:
        """Return a wait at the best target that answers in time."""
        nodes = {target.node for target in group}
        just_asked = [
            target
            for target in progress.first_offers.refused
            if target.node in nodes
        ]
        target = self._best_wait(progress, just_asked)
        if target is None:
            tried = progress.tried_nodes
            untried = [each for each in group if each.node not in tried]
            target = self._best_wait(progress, untried)
        return Offer(target, left_wait_ms(progress)) if target else None

    def _best_wait(
        self,
        progress: CallProgress,
        group: list[MeshTarget],
    ) -> MeshTarget | None:
        waited_nodes = progress.first_offers.waited_nodes
        useful_ms = progress.useful_ms()
        max_wait_ms = left_wait_ms(progress)
        in_time = (
            target
            for target in self._random.sample(group, len(group))
            if target.node not in waited_nodes
            and self.estimates.is_in_time(target, max_wait_ms, useful_ms)
            and self._chooser.may_offer(target)
        )
        return min(
            islice(in_time, SAMPLE_SIZE),
            key=self._chooser.expected_ms,
            default=None,
        )

    def _refusals(self, progress: CallProgress, distance: int) -> int:
        """Return how many first offers at a distance were refused."""
        distance_of = self._chooser.distances.distance
        return sum(
            distance_of(target) == distance
            for target in progress.first_offers.refused
        )


def _offer_to(progress: CallProgress, target: MeshTarget) -> Offer:
    """Return a first offer, with a wait if the body of the call is large."""
    if len(progress.call.body) > MAX_OFFERED_BODY_BYTES:
        return Offer(target, left_wait_ms(progress))
    return Offer(target, 0, is_first=True)
