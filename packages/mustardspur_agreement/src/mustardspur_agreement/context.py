"""Dependencies of the local replica."""

import logging
from typing import Any

from mustardspur_core.metrics import Metrics
from mustardspur_core.record import Record
from mustardspur_core.settings import Settings
from mustardspur_core.timeline import Timeline

from mustardspur_agreement.ports import Environment, StateMachine

_logger = logging.getLogger(__name__)


class Context(Record):
    """Dependencies of the local replica; immutable.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    machine : StateMachine
        Applies the committed entries.
    timeline : Timeline
        Records the events.
    metrics : Metrics
        Counts the events.
    environment : Environment
        Disk, connections and random numbers.
    """

    __slots__ = (
        'settings',
        'machine',
        'timeline',
        'metrics',
        'environment',
    )
    settings: Settings
    machine: StateMachine
    timeline: Timeline
    metrics: Metrics
    environment: Environment

    def report(self, event: str, **details: Any) -> None:
        """Send an event to the time line, the log and the metrics."""
        self.timeline.record(event, **details)
        self.metrics.incr(f'agreement.{event}')
        _logger.info(event, extra=details)
