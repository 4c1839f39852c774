"""Means over the reports of a service's targets."""

from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad

# Weight of the newest report in the moving averages.
REPORT_WEIGHT: Final = 0.05
# Bounds the memory for services; over a day a table can have many more.
MAX_SERVICES: Final = 256


class ServiceMeans:
    """Moving averages over the reports of the targets of one service.

    Attributes
    ----------
    utilisation : float
        Calls that run or wait at a target, relative to its slots, up to 1.
    run_ms : float
        Mean run time in milliseconds.
    """

    __slots__ = ('run_ms', 'utilisation')

    def __init__(self, load: TargetLoad) -> None:
        """Initialise with the first report."""
        self.utilisation = _utilisation(load)
        self.run_ms = load.run_ms

    def record(self, load: TargetLoad) -> None:
        """Add a report."""
        difference = _utilisation(load) - self.utilisation
        self.utilisation += REPORT_WEIGHT * difference
        self.run_ms += REPORT_WEIGHT * (load.run_ms - self.run_ms)


def record_report(
    means_by_service: dict[str, ServiceMeans],
    service: str,
    load: TargetLoad,
) -> None:
    """Add a report of a target to the means of its service."""
    means = means_by_service.get(service)
    if means is not None:
        means.record(load)
        return
    if len(means_by_service) >= MAX_SERVICES:
        means_by_service.pop(next(iter(means_by_service)))
    means_by_service[service] = ServiceMeans(load)


def _utilisation(load: TargetLoad) -> float:
    return min((load.running + load.waiting) / max(load.slots, 1), 1)
