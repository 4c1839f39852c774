"""Means over the reports of the targets of a service in a data centre."""

import asyncio
import math
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad

# Weight of the newest report in the moving averages.
REPORT_WEIGHT: Final = 0.05
# Least weight of the newest report in the part of the targets with a queue.
QUEUE_WEIGHT: Final = 0.15
# Time after which that part counts for a third, as without new reports nothing
# tells that the queues still exist. A longer one would keep calls away from
# another region for seconds after it has got free slots.
QUEUE_MEMORY_S: Final = 1.0
# Time over which the recent utilisation is averaged. A shorter one would make
# it depend on the few targets that were called last.
RECENT_S: Final = 0.8
# Bounds the memory for groups; over a day a mesh can have many more services.
MAX_GROUPS: Final = 1024

# Service and data centre.
TargetGroup = tuple[str, str]


class GroupMeans:
    """Moving averages over the reports of the targets of one group.

    Attributes
    ----------
    utilisation : float
        Calls that run or wait at a target, relative to its slots, up to 1.
    recent_utilisation : float
        The same over about a second, however many reports there are.
    run_ms : float
        Mean run time in milliseconds.
    recorded_s : float
        Time on the event loop's clock of the last report.
    """

    __slots__ = (
        '_count',
        '_queued_part',
        'recent_utilisation',
        'recorded_s',
        'run_ms',
        'utilisation',
    )

    def __init__(self, load: TargetLoad) -> None:
        """Initialise with the first report."""
        self._count = 1
        self.recorded_s = _now()
        self.utilisation = _utilisation(load)
        self.recent_utilisation = self.utilisation
        self.run_ms = load.run_ms
        self._queued_part: float = load.waiting > 0

    @property
    def queued_part(self) -> float:
        """Part of the targets at which calls wait, as far as known.

        Few calls wait at targets with free slots, so the part tells an
        overload from a high utilisation. It decays with the time since the
        last report.
        """
        age_s = _now() - self.recorded_s
        return self._queued_part * math.exp(-age_s / QUEUE_MEMORY_S)

    def record(self, load: TargetLoad) -> None:
        """Add a report; the first ones count alike."""
        self._count += 1
        age_s = _now() - self.recorded_s
        queue_weight = max(
            QUEUE_WEIGHT,
            1 - math.exp(-age_s / QUEUE_MEMORY_S),
        )
        self._queued_part += queue_weight * (
            (load.waiting > 0) - self._queued_part
        )
        self.recorded_s = _now()
        weight = max(REPORT_WEIGHT, 1 / self._count)
        difference = _utilisation(load) - self.utilisation
        self.utilisation += weight * difference
        difference = _utilisation(load) - self.recent_utilisation
        recent_weight = 1 - math.exp(-age_s / RECENT_S)
        self.recent_utilisation += recent_weight * difference
        self.run_ms += weight * (load.run_ms - self.run_ms)


def record_report(
    means_by_group: dict[TargetGroup, GroupMeans],
    group: TargetGroup,
    load: TargetLoad,
) -> None:
    """Add a report of a target to the means of its group."""
    means = means_by_group.get(group)
    if means is not None:
        means.record(load)
        return
    if len(means_by_group) >= MAX_GROUPS:
        means_by_group.pop(next(iter(means_by_group)))
    means_by_group[group] = GroupMeans(load)


def _utilisation(load: TargetLoad) -> float:
    return min((load.running + load.waiting) / max(load.slots, 1), 1)


def _now() -> float:
    return asyncio.get_running_loop().time()
