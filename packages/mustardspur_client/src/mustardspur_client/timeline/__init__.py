"""Time line of many processes, merged in spite of clock offsets."""

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
