"""Spillover of calls to other regions, for calls that may not leave theirs."""

import asyncio
from typing import Final

from mustardspur_core.mesh.model import MeshTarget

from mustardspur_node.mesh.balancing.registry import Knowledge
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.group_means import GroupMeans
from mustardspur_node.mesh.homes import RestrictedRegions

# Mean utilisation of a region above which the fraction rises, and below which
# it falls. Between them it is kept: a target of 5 slots is full for a fifth to
# two fifths of the time there, so a call still finds a slot nearby.
RISE_UTILISATION: Final = 0.88
FALL_UTILISATION: Final = 0.8
# Added to the utilisation, which is 1 at most, if calls wait at all targets. It
# tells a large overload from a small one.
QUEUED_UTILISATION: Final = 0.2
# Change of the fraction in a second for each unit of utilisation beyond these
# bounds. At a utilisation of 1 with queues everywhere, the fraction reaches its
# maximum in 1 s; at one of 0.5, calls return within 3.2 s.
RISE_PER_S: Final = 3.0
FALL_PER_S: Final = 1.0
# Decrease in a second while no recent report is known. It is slow, since a node
# whose calls have all left gets no reports until some return.
UNKNOWN_FALL_PER_S: Final = 0.1
# Some calls stay, as only they show that the region has free slots again.
MAX_FRACTION: Final = 0.95
# Reports that are older say nothing about the present utilisation.
REPORT_MAX_AGE_S: Final = 2.0
# Longest time that one update accounts for.
MAX_STEP_S: Final = 0.5
# Bounds the memory; over a day a mesh can have many more services.
MAX_SHORTAGES: Final = 1024


class RegionShortage:
    """Fraction of the calls that leave a region short of capacity.

    Attributes
    ----------
    fraction : float
        Fraction of the calls that may be served elsewhere, from 0 to 1.
    """

    __slots__ = ('_updated_s', 'fraction')

    def __init__(self, now_s: float) -> None:
        """Initialise with calls that stay."""
        self.fraction: float = 0
        self._updated_s = now_s

    def update(self, utilisation: float | None, now_s: float) -> None:
        """Change the fraction by the utilisation since the last update.

        Parameters
        ----------
        utilisation : float or None
            Mean utilisation of the targets of the region, None if no recent
            report is known.
        now_s : float
            Time on the event loop's clock.
        """
        step_s = min(now_s - self._updated_s, MAX_STEP_S)
        self._updated_s = now_s
        change_per_s = -UNKNOWN_FALL_PER_S
        if utilisation is not None:
            rise = max(utilisation - RISE_UTILISATION, 0) * RISE_PER_S
            fall = max(FALL_UTILISATION - utilisation, 0) * FALL_PER_S
            change_per_s = rise - fall
        fraction = self.fraction + change_per_s * step_s
        self.fraction = min(max(fraction, 0), MAX_FRACTION)


class Spillover:
    """Decides which calls leave their region before they are offered there.

    Explanation
    ===========

    The load is that of a region whose targets run calls that may not be
    served elsewhere, besides others that may. Once targets fail, the region
    is overloaded while another one is idle. The calls that may leave would do
    so only after refusals, and until then they take slots from those that
    may not.

    The decision is an integral control of the mean utilisation that reports
    state, with a dead band. Only services and regions are controlled to which
    a route or account of the table restricts calls.

    Parameters
    ----------
    knowledge : Knowledge
        What the node knows of the targets.
    """

    __slots__ = ('_chooser', '_random', '_regions', '_shortages')

    def __init__(self, knowledge: Knowledge) -> None:
        """Initialise without a shortage."""
        self._chooser = knowledge.chooser
        self._random = knowledge.random_source
        self._regions = RestrictedRegions(knowledge.view)
        # By service and region of the targets.
        self._shortages: dict[tuple[str, str], RegionShortage] = {}

    def applies(
        self,
        progress: CallProgress,
        near: list[MeshTarget],
        far: list[MeshTarget],
    ) -> bool:
        """Return whether a call leaves the region, decided once for a call.

        Parameters
        ----------
        progress : CallProgress
            State of the call over its placements so far.
        near, far : list of MeshTarget
            Targets of the own region and of others that may run the call.
        """
        offers = progress.first_offers
        if offers.leaves_region is None:
            offers.leaves_region = self._decide(near, far)
        return offers.leaves_region

    def has_room(self, target: MeshTarget) -> bool:
        """Return whether the data centre of a far target is not short too."""
        means = self._recent_means(target.service, target.data_centre)
        return means is None or means.recent_utilisation < FALL_UTILISATION

    def _decide(self, near: list[MeshTarget], far: list[MeshTarget]) -> bool:
        if not near:
            return False
        key = (near[0].service, near[0].region)
        now_s = asyncio.get_running_loop().time()
        if far:
            others = {target.region for target in far}
            if not self._regions.has_bound_calls(*key, others):
                self._shortages.pop(key, None)
                return False
            if key not in self._shortages:
                self._shortages[key] = RegionShortage(now_s)
            if len(self._shortages) > MAX_SHORTAGES:
                self._shortages.pop(next(iter(self._shortages)))
        shortage = self._shortages.get(key)
        if shortage is None:
            return False
        shortage.update(self._utilisation(near), now_s)
        return bool(far) and self._random.random() < shortage.fraction

    def _utilisation(self, targets: list[MeshTarget]) -> float | None:
        """Return the mean utilisation of the data centres of some targets.

        A data centre that no recent report is of does not count.
        """
        service = targets[0].service
        total: float = 0
        count = 0
        by_data_centre: dict[str, int] = {}
        for target in targets:
            slots = by_data_centre.get(target.data_centre, 0) + target.slots
            by_data_centre[target.data_centre] = slots
        for data_centre, slots in by_data_centre.items():
            means = self._recent_means(service, data_centre)
            if means is not None:
                queued = QUEUED_UTILISATION * means.queued_part
                total += slots * (means.recent_utilisation + queued)
                count += slots
        return total / count if count else None

    def _recent_means(
        self,
        service: str,
        data_centre: str,
    ) -> GroupMeans | None:
        means = self._chooser.means_by_group.get((service, data_centre))
        if means is None:
            return None
        age_s = asyncio.get_running_loop().time() - means.recorded_s
        return means if age_s < REPORT_MAX_AGE_S else None
