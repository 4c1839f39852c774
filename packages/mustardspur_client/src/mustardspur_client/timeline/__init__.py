"""Merged time line of several processes with different clocks."""

from mustardspur_client.timeline.events import Event, Events, read_events
from mustardspur_client.timeline.filters import select
from mustardspur_client.timeline.merging import (
    MergedEvent,
    MergedTimeline,
    merge,
)
from mustardspur_client.timeline.offsets import Clock

__all__ = [
    'Clock',
    'Event',
    'Events',
    'MergedEvent',
    'MergedTimeline',
    'merge',
    'read_events',
    'select',
]
