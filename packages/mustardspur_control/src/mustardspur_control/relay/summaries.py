"""Summaries of the targets of regions."""

from collections import defaultdict
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
        newest: _RowsByService = defaultdict(list)
        for row in summary.rows:
            newest[row.service].append(row)
        named = set(summary.services)
        if summary.full:
            named |= self._rows[summary.region].keys()
        for service in named:
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


def _samples(rows: list[SummaryRow]) -> list[Target]:
    return [target for row in rows for target in row.sample]
