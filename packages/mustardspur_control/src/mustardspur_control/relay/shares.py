"""What a control instance passes on to another, each part by itself."""

from collections.abc import Iterator
from typing import Protocol

from mustardspur_core.record import Record
from mustardspur_moves import OutcomeCollector

from mustardspur_control.applied import NodeApplied
from mustardspur_control.hub import Hub
from mustardspur_control.relay.applied_rows import group_reports
from mustardspur_control.relay.messages import (
    RegistryShare,
    RegistrySummary,
    SummaryRow,
)
from mustardspur_control.relay.summaries import RegionSummaries, summarize


class Share(Protocol):
    """A part of the state that one peer is kept up to date with."""

    def reset(self) -> None:
        """Forget what the peer was sent, since its stream is new."""

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the messages that bring the peer up to date."""


class OwnTargets:
    """Targets of the own nodes, for peers of the region."""

    __slots__ = ('_hub', '_revision', '_settled')

    def __init__(self, hub: Hub) -> None:
        """Start with nothing sent."""
        self._hub = hub
        self.reset()

    def reset(self) -> None:
        """Forget what the peer was sent."""
        self._revision = ''
        self._settled = False

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the targets that changed."""
        registry = self._hub.registry
        if registry.settled != self._settled:
            # The peer kept what an unsettled registry did not name.
            self.reset()
        if registry.own.revision == self._revision:
            return
        yield RegistryShare(
            settled=registry.settled,
            update=registry.own.update_from(self._revision),
        )
        self._revision = registry.own.revision
        self._settled = registry.settled


class OwnSummary:
    """Summary of the own region, for peers of other regions."""

    __slots__ = ('_dirty', '_hub', '_is_first', '_sent')

    def __init__(self, hub: Hub) -> None:
        """Follow the changes of the registry."""
        self._hub = hub
        self._sent: dict[str, list[SummaryRow]] = {}
        self._dirty: set[str] = set()
        self._is_first = True
        hub.registry.known.on_change(self._dirty.add)

    def reset(self) -> None:
        """Forget what the peer was sent."""
        self._is_first = True

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the summary of the services that changed."""
        registry = self._hub.registry
        if not registry.settled:
            # The other regions keep what they know of this one until then.
            return
        if self._is_first:
            self._dirty.update(registry.known.services)
            self._sent.clear()
        region = self._hub.settings.region
        changed = self._changed_rows()
        if changed or self._is_first:
            yield RegistrySummary(
                region=region,
                services=list(changed),
                rows=[row for rows in changed.values() for row in rows],
                full=self._is_first,
            )
        self._is_first = False

    def _changed_rows(self) -> dict[str, list[SummaryRow]]:
        # Most changes of a list come from samples of other regions, which
        # are no part of this region's summary.
        changed = {}
        for service in sorted(self._dirty):
            rows = summarize(
                self._hub.registry,
                self._hub.settings.region,
                service,
            )
            if rows != self._sent.get(service, []):
                changed[service] = rows
        self._dirty.clear()
        self._sent.update(changed)
        return changed


class OtherSummaries:
    """Summaries of other regions, for peers of the own region."""

    __slots__ = ('_dirty', '_summaries')

    def __init__(self, summaries: RegionSummaries) -> None:
        """Start with nothing sent."""
        self._summaries = summaries
        self._dirty: dict[str, set[str]] = {}

    def add(self, summary: RegistrySummary) -> None:
        """Note a summary that arrived over a paid link."""
        dirty = self._dirty.setdefault(summary.region, set())
        dirty.update(summary.services)

    def reset(self) -> None:
        """Forget what the peer was sent."""
        for region in self._summaries.regions:
            rows = self._summaries.rows_of(region)
            self._dirty.setdefault(region, set()).update(rows)

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the summaries that changed."""
        for region, services in self._dirty.items():
            rows_by_service = self._summaries.rows_of(region)
            yield RegistrySummary(
                region=region,
                services=sorted(services),
                rows=[
                    row
                    for service in sorted(services)
                    for row in rows_by_service.get(service, ())
                ],
                full=False,
            )
        self._dirty.clear()


class KnownCutOffs:
    """Cut-offs, for every peer; a set union ends where all know them."""

    __slots__ = ('_hub', '_sent')

    def __init__(self, hub: Hub) -> None:
        """Start with nothing sent."""
        self._hub = hub
        self._sent: set[str] = set()

    def reset(self) -> None:
        """Forget what the peer was sent."""
        self._sent.clear()

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the cut-offs that the peer was not sent."""
        for move, cut_off in self._hub.cut_offs.by_move.items():
            if move not in self._sent:
                yield cut_off
        self._sent.update(self._hub.cut_offs.by_move)


class Reports:
    """Reports of nodes, for the peer on the way to the leader."""

    __slots__ = ('_dirty', '_hub', '_was_upstream')

    def __init__(self, hub: Hub) -> None:
        """Follow the changes of the reports."""
        self._hub = hub
        self._dirty: dict[tuple[str, str], NodeApplied] = {}
        self._was_upstream = False
        hub.applied.on_change(self._add)

    def reset(self) -> None:
        """Forget what the peer was sent."""
        self._was_upstream = False

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the changed reports, grouped; all to a new upstream."""
        if is_upstream and not self._was_upstream:
            for row in self._hub.applied.all_rows():
                self._add(row)
        if is_upstream and self._dirty:
            yield group_reports(self._dirty.values())
        self._dirty.clear()
        self._was_upstream = is_upstream

    def _add(self, row: NodeApplied) -> None:
        self._dirty[row.report.service, row.node] = row


class Evidence:
    """Evidence about moves, for the peer on the way to the leader."""

    __slots__ = ('_buffer',)

    def __init__(self, buffer: OutcomeCollector) -> None:
        """Share the buffer with the other peers."""
        self._buffer = buffer

    def reset(self) -> None:
        """Keep what was not sent; what was lost is not sent again."""

    def news(self, is_upstream: bool) -> Iterator[Record]:
        """Yield what was merged since the last time."""
        if is_upstream:
            yield from self._buffer.drain()
