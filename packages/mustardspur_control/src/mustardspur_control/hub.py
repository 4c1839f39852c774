"""Sessions of the connected nodes and the updates that they need."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from mustardspur_core.messages import Applied, CutOff, Outcomes
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.timeline import Timeline
from mustardspur_core.wire import encode_frame

from mustardspur_control.admission import Admission
from mustardspur_control.applied import (
    NOT_CONNECTED,
    NOT_REPORTED,
    AppliedTable,
    NodeApplied,
)
from mustardspur_control.barrier import ReadBarrier, SharedBarrier
from mustardspur_control.config_history import ConfigHistory
from mustardspur_control.cut_offs import CutOffs, service_of
from mustardspur_control.frame_cache import FrameCache
from mustardspur_control.ports import ConfigSource
from mustardspur_control.registry import Registry
from mustardspur_control.sessions import NodeSession, Sessions

OutcomeCallback = Callable[[str, Outcomes], None]


class Hub:
    """Tracks the connected nodes and builds the updates for each.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance.
    source : ConfigSource
        Source of the newest configurations.
    registry : Registry
        Registry of targets.
    barrier : ReadBarrier
        Replicated log, which confirms that the applied state is current.
    timeline : Timeline
        Receives connects, disconnects and acknowledgements.
    metrics : Metrics
        Receives counters.
    """

    def __init__(
        self,
        settings: Settings,
        source: ConfigSource,
        registry: Registry,
        barrier: ReadBarrier,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        """Subscribe to changes of configurations, targets and cut-offs."""
        self.settings = settings
        self.registry = registry
        self.timeline = timeline
        self.metrics = metrics
        self.applied = AppliedTable()
        self.cut_offs = CutOffs()
        self.admission = Admission(random.Random())
        self.barrier = SharedBarrier(barrier)
        self._source = source
        self._history = ConfigHistory()
        self._frames = FrameCache(self._history, registry)
        self.sessions = Sessions()
        self._outcome_callbacks: list[OutcomeCallback] = []
        for service in source.services():
            self._add_to_history(service)
        source.on_change(self._on_config_change)
        registry.known_targets.on_change(self.sessions.mark_changed)
        self.cut_offs.on_new(self._on_cut_off)

    def on_outcomes(self, callback: OutcomeCallback) -> None:
        """Register a callback for the sender and each report of outcomes."""
        self._outcome_callbacks.append(callback)

    def report_outcomes(self, node: str, outcomes: Outcomes) -> None:
        """Call the callbacks with a report of outcomes."""
        for callback in self._outcome_callbacks:
            callback(node, outcomes)

    def report_applied(self, node: str, report: Applied) -> None:
        """Store and record which configuration a node has in force."""
        self.applied.put(
            NodeApplied(control=self.settings.id, node=node, report=report),
        )
        self.timeline.record(
            'applied',
            node=node,
            service=report.service,
            index=report.index,
            pending_index=report.pending_index,
            reason=report.reason,
        )

    @contextmanager
    def connected(self, session: NodeSession) -> Iterator[None]:
        """Register a node as connected for the length of a block.

        An earlier stream of the same node is closed.
        """
        earlier = self.sessions.add(session)
        if earlier is not None:
            earlier.stream.close()
        self.registry.renew(session.node)
        self._report_all(session, NOT_REPORTED)
        session.cut_offs.update(self.cut_offs_for(session))
        self.timeline.record('node_connected', node=session.node)
        self.metrics.gauge('nodes', len(self.sessions.by_node))
        try:
            yield
        finally:
            if self.sessions.remove(session):
                self._report_all(session, NOT_CONNECTED)
                self.timeline.record('node_lost', node=session.node)

    def frames_for(self, session: NodeSession) -> list[bytes]:
        """Return the pending updates of a node and mark them as sent."""
        session.wake.clear()
        frames = [
            encode_frame(self.cut_offs.by_move[move])
            for move in session.cut_offs
        ]
        for service in sorted(session.dirty):
            frames.extend(self._config_frames(session, service))
            frames.extend(self._target_frames(session, service))
        session.cut_offs.clear()
        session.dirty.clear()
        return frames

    def cut_offs_for(self, session: NodeSession) -> list[str]:
        """Return the cut-off moves of a node's services."""
        return [
            move
            for move in self.cut_offs.by_move
            if service_of(move) in session.services
        ]

    def _config_frames(
        self,
        session: NodeSession,
        service: str,
    ) -> Iterator[bytes]:
        config = self._source.config(service)
        node_index = session.sent_indexes.get(service, 0)
        # This instance may lag behind the node; it sends nothing older.
        if config is not None and config.index > node_index:
            session.sent_indexes[service] = config.index
            yield self._frames.config_frame(config, node_index)

    def _target_frames(
        self,
        session: NodeSession,
        service: str,
    ) -> Iterator[bytes]:
        node_revision = session.sent_revisions.get(service, '')
        newest = self.registry.revision(service)
        if node_revision != newest and self.registry.needs_update(
            service, node_revision
        ):
            session.sent_revisions[service] = newest
            yield self._frames.target_frame(service, node_revision, newest)

    def _on_config_change(self, service: str) -> None:
        self._add_to_history(service)
        self.sessions.mark_changed(service)

    def _add_to_history(self, service: str) -> None:
        config = self._source.config(service)
        if config is not None:
            self._history.add(config)

    def _on_cut_off(self, cut_off: CutOff) -> None:
        for session in self.sessions.of_service(service_of(cut_off.move)):
            session.mark_cut_off(cut_off.move)

    def _report_all(self, session: NodeSession, reason: str) -> None:
        for service in session.services:
            row = self.applied.row(service, session.node)
            hello_index = session.hello.config_indexes.get(service, 0)
            index = row.report.index if row else hello_index
            report = Applied(
                service=service,
                index=index,
                pending_index=index,
                reason=reason,
            )
            self.report_applied(session.node, report)
