"""Sources of the messages that a control instance sends to a peer."""

from collections.abc import Iterator
from typing import Protocol

from mustardspur_core.record import Record
from mustardspur_moves import OutcomeCollector

from mustardspur_control.applied import NodeApplied
from mustardspur_control.hub import Hub
from mustardspur_control.relay.applied_rows import group_reports
from mustardspur_control.relay.messages import (
    RegistrySummary,
    RegistryUpdate,
    SummaryRow,
)
from mustardspur_control.relay.summaries import RegionSummaries, summarize


class UpdateSource(Protocol):
    """Part of the state that is sent to a peer, with the progress."""

    def reset(self) -> None:
        """Reset the progress after a new stream is opened."""

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the messages to send next and mark them as sent.

        `is_upstream` is whether the peer is next on the path to the leader.
        """


class OwnTargetUpdates:
    """Sends the targets of the connected nodes to peers of the region."""

    __slots__ = ('_hub', '_revision', '_settled')

    def __init__(self, hub: Hub) -> None:
        """Initialise with nothing sent."""
        self._hub = hub
        self.reset()

    def reset(self) -> None:
        """Reset the progress."""
        self._revision = ''
        self._settled = False

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the update of the changed targets."""
        registry = self._hub.registry
        if registry.settled != self._settled:
            # The peer applied no removals while the registry was not settled.
            self.reset()
        if registry.own_targets.revision == self._revision:
            return
        yield RegistryUpdate(
            settled=registry.settled,
            update=registry.own_targets.update_from(self._revision),
        )
        self._revision = registry.own_targets.revision
        self._settled = registry.settled


class OwnSummaryUpdates:
    """Sends the summary of this region to peers of other regions."""

    __slots__ = ('_dirty', '_hub', '_is_first', '_sent')

    def __init__(self, hub: Hub) -> None:
        """Subscribe to the changes of the registry."""
        self._hub = hub
        self._sent: dict[str, list[SummaryRow]] = {}
        self._dirty: set[str] = set()
        self._is_first = True
        hub.registry.known_targets.on_change(self._dirty.add)

    def reset(self) -> None:
        """Reset the progress."""
        self._is_first = True

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the summary of the changed services."""
        registry = self._hub.registry
        if not registry.settled:
            # Targets may be missing, so other regions retain the last summary.
            return
        if self._is_first:
            self._dirty.update(registry.known_targets.services)
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
        # Most services are marked by changes in the samples of other regions,
        # which are not part of the summary of this region.
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


class RemoteSummaryUpdates:
    """Sends summaries of other regions to peers of this region."""

    __slots__ = ('_dirty', '_summaries')

    def __init__(self, summaries: RegionSummaries) -> None:
        """Initialise with nothing sent."""
        self._summaries = summaries
        self._dirty: dict[str, set[str]] = {}

    def add(self, summary: RegistrySummary) -> None:
        """Mark the services of a received summary as changed."""
        dirty = self._dirty.setdefault(summary.region, set())
        dirty.update(summary.services)

    def reset(self) -> None:
        """Reset the progress."""
        for region in self._summaries.regions:
            rows = self._summaries.rows_of(region)
            self._dirty.setdefault(region, set()).update(rows)

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the changed summaries."""
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


class CutOffUpdates:
    """Sends cut-offs to every peer, which forwards only those new to it."""

    __slots__ = ('_hub', '_sent')

    def __init__(self, hub: Hub) -> None:
        """Initialise with nothing sent."""
        self._hub = hub
        self._sent: set[str] = set()

    def reset(self) -> None:
        """Reset the progress."""
        self._sent.clear()

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the cut-offs that the peer was not sent yet."""
        for move, cut_off in self._hub.cut_offs.by_move.items():
            if move not in self._sent:
                yield cut_off
        self._sent.update(self._hub.cut_offs.by_move)


class ReportUpdates:
    """Sends the reports of nodes to the next peer towards the leader."""

    __slots__ = ('_dirty', '_hub', '_was_upstream')

    def __init__(self, hub: Hub) -> None:
        """Subscribe to the changes of the reports."""
        self._hub = hub
        self._dirty: dict[tuple[str, str], NodeApplied] = {}
        self._was_upstream = False
        hub.applied.on_change(self._add)

    def reset(self) -> None:
        """Reset the progress."""
        self._was_upstream = False

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the changed reports, or all reports to a new upstream."""
        if is_upstream and not self._was_upstream:
            for row in self._hub.applied.all_rows():
                self._add(row)
        if is_upstream and self._dirty:
            yield group_reports(self._dirty.values())
        self._dirty.clear()
        self._was_upstream = is_upstream

    def _add(self, row: NodeApplied) -> None:
        self._dirty[row.report.service, row.node] = row


class OutcomeUpdates:
    """Sends evidence about moves to the next peer towards the leader."""

    __slots__ = ('_collector',)

    def __init__(self, collector: OutcomeCollector) -> None:
        """Initialise with the collector that all links share."""
        self._collector = collector

    def reset(self) -> None:
        """Retain unsent outcomes; those lost with a stream are not resent."""

    def pending_messages(self, is_upstream: bool) -> Iterator[Record]:
        """Yield the outcomes that were merged since the last call."""
        if is_upstream:
            yield from self._collector.drain()
