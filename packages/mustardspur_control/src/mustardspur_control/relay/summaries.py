"""Summaries of the targets of regions."""

from collections import defaultdict
from itertools import chain
from typing import Final

from mustardspur_core.state import Target, TargetState

from mustardspur_control.registry import Registry
from mustardspur_control.relay.messages import RegistrySummary, SummaryRow

# Addresses per service and version that other regions learn. Calls cross a
# paid link only where nothing nearer has capacity, so a few targets that can
# stand in for each other are enough.
SAMPLE_TARGETS: Final = 3
_RowsByService = dict[str, list[SummaryRow]]


class RegionSummaries:
    """What is known of other regions, by region and service."""

    __slots__ = ('_registry', '_rows')

    def __init__(self, registry: Registry) -> None:
        """Start without summaries."""
        self._registry = registry
        self._rows: dict[str, _RowsByService] = defaultdict(dict)

    @property
    def regions(self) -> list[str]:
        """Regions with a summary."""
        return list(self._rows)

    def take(self, summary: RegistrySummary) -> None:
        """Take a region's summary and pass its samples to the registry."""
        rows_by_service = self._rows[summary.region]
        if summary.full:
            rows_by_service.clear()
        for service in summary.services:
            rows_by_service[service] = [
                row for row in summary.rows if row.service == service
            ]
        sample: list[Target] = []
        for row in chain.from_iterable(rows_by_service.values()):
            sample.extend(row.sample)
        self._registry.merge_sample(summary.region, sample)

    def rows_of(self, region: str) -> _RowsByService:
        """Return the rows of a region by service."""
        return self._rows[region]


def summarize(
    registry: Registry,
    region: str,
    service: str,
) -> list[SummaryRow]:
    """Return the rows of a service for the registry's own region."""
    ready: dict[str, list[Target]] = defaultdict(list)
    for target in registry.targets(service):
        if target.region == region and target.state == TargetState.READY:
            ready[target.version].append(target)
    return [
        SummaryRow(
            service=service,
            version=version,
            ready=len(targets),
            slots=sum(each.slots for each in targets),
            sample=targets[:SAMPLE_TARGETS],
        )
        for version, targets in sorted(ready.items())
    ]
