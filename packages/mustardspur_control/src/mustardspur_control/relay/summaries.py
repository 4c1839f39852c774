"""Summaries of the targets of other regions."""

from collections import defaultdict
from typing import Final

from mustardspur_core.state import Target, TargetState

from mustardspur_control.registry import Registry
from mustardspur_control.relay.messages import RegistrySummary, SummaryRow

# Targets per service and version that other regions are sent. Calls cross a
# paid link only if no nearer target has capacity, so a few interchangeable
# targets are enough.
SAMPLE_TARGETS: Final = 3
_RowsByService = dict[str, list[SummaryRow]]


class RegionSummaries:
    """Newest summaries of other regions, by region and service."""

    __slots__ = ('_registry', '_rows')

    def __init__(self, registry: Registry) -> None:
        """Initialise without summaries."""
        self._registry = registry
        self._rows: dict[str, _RowsByService] = defaultdict(dict)

    @property
    def regions(self) -> list[str]:
        """Regions with a summary."""
        return list(self._rows)

    def apply(self, summary: RegistrySummary) -> None:
        """Store a region's summary and merge its samples into the registry."""
        newest: _RowsByService = defaultdict(list)
        for row in summary.rows:
            newest[row.service].append(row)
        services = set(summary.services)
        if summary.full:
            services |= self._rows[summary.region].keys()
        for service in services:
            rows = newest[service]
            self._rows[summary.region][service] = rows
            self._registry.merge_sample(
                summary.region,
                service,
                _samples(rows),
            )

    def rows_of(self, region: str) -> _RowsByService:
        """Return the rows of a region by service."""
        return self._rows[region]


def summarize(
    registry: Registry,
    region: str,
    service: str,
) -> list[SummaryRow]:
    """Return the rows of a service for a region."""
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


def _samples(rows: list[SummaryRow]) -> list[Target]:
    return [target for row in rows for target in row.sample]
