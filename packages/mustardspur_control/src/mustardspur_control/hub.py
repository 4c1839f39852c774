"""Who is connected and what each node has to be sent."""

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
from mustardspur_control.cut_offs import CutOffs, service_of
from mustardspur_control.frames import SharedFrames
from mustardspur_control.history import History
from mustardspur_control.ports import ConfigSource
from mustardspur_control.registry import Registry
from mustardspur_control.sessions import NodeSession, Sessions

OutcomeCallback = Callable[[str, Outcomes], None]


class Hub:
    """Sessions of the connected nodes, and the changes that each needs.

    Parameters
    ----------
    settings : Settings
        Settings of the control instance.
    source : ConfigSource
        Newest configurations.
    registry : Registry
        Targets.
    barrier : ReadBarrier
        The replicated log, for confirming the applied state.
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
        """Follow the changes of the configurations and of the targets."""
        self.settings = settings
        self.registry = registry
        self.timeline = timeline
        self.metrics = metrics
        self.applied = AppliedTable()
        self.cut_offs = CutOffs()
        self.admission = Admission(random.Random())
        self.barrier = SharedBarrier(barrier)
        self._source = source
        self._history = History()
        self._frames = SharedFrames(self._history, registry)
        self.sessions = Sessions()
        self._outcome_callbacks: list[OutcomeCallback] = []
        for service in source.services():
            self._keep(service)
        source.on_change(self._config_changed)
        registry.known.on_change(self.sessions.mark)
        self.cut_offs.on_new(self._cut_off_added)

    def on_outcomes(self, callback: OutcomeCallback) -> None:
        """Call back with a node's name and each report of outcomes."""
        self._outcome_callbacks.append(callback)

    def report_outcomes(self, node: str, outcomes: Outcomes) -> None:
        """Pass a report of outcomes to the callbacks."""
        for callback in self._outcome_callbacks:
            callback(node, outcomes)

    def report_applied(self, node: str, report: Applied) -> None:
        """Keep what a connected node has in force."""
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
        """Count a node as connected for the length of a block."""
        earlier = self.sessions.add(session)
        if earlier is not None:
            earlier.stream.close()
        self.registry.renew(session.node)
        self._note_reports(session, NOT_REPORTED)
        session.cut_offs.update(self.cut_offs_for(session))
        self.timeline.record('node_connected', node=session.node)
        self.metrics.gauge('nodes', len(self.sessions.by_node))
        try:
            yield
        finally:
            if self.sessions.remove(session):
                self._note_reports(session, NOT_CONNECTED)
                self.timeline.record('node_lost', node=session.node)

    def frames_for(self, session: NodeSession) -> list[bytes]:
        """Return the frames that bring a node up to date; it is clean then."""
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
        """Return the moves of a node's services that are cut off."""
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
        held = session.indexes.get(service, 0)
        # A control instance that is behind a node sends it nothing older.
        if config is not None and config.index > held:
            session.indexes[service] = config.index
            yield self._frames.config_frame(config, held)

    def _target_frames(
        self,
        session: NodeSession,
        service: str,
    ) -> Iterator[bytes]:
        held = session.revisions.get(service, '')
        newest = self.registry.revision(service)
        if held != newest and self.registry.has_news(service, held):
            session.revisions[service] = newest
            yield self._frames.target_frame(service, held, newest)

    def _config_changed(self, service: str) -> None:
        self._keep(service)
        self.sessions.mark(service)

    def _keep(self, service: str) -> None:
        config = self._source.config(service)
        if config is not None:
            self._history.add(config)

    def _cut_off_added(self, cut_off: CutOff) -> None:
        for session in self.sessions.of_service(service_of(cut_off.move)):
            session.mark_cut_off(cut_off.move)

    def _note_reports(self, session: NodeSession, reason: str) -> None:
        for service in session.services:
            row = self.applied.row(service, session.node)
            held = session.hello.held.get(service, 0)
            index = row.report.index if row else held
            report = Applied(
                service=service,
                index=index,
                pending_index=index,
                reason=reason,
            )
            self.report_applied(session.node, report)
