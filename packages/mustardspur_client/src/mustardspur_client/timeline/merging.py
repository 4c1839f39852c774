"""One order of the events of all processes."""

import heapq
from collections.abc import Iterable, Iterator
from itertools import chain, pairwise
from typing import Final

from mustardspur_core.record import Record

from mustardspur_client.timeline.causes import Pair, causes
from mustardspur_client.timeline.events import Event, EventKey, Events
from mustardspur_client.timeline.offsets import Clock, estimate_clocks

# Sums of clock readings in seconds since 1970 are exact to about 0.2 us.
ROUNDING_S: Final = 1e-5

_Times = dict[EventKey, float]
_HeapEntry = tuple[float, EventKey]


class MergedEvent(Record):
    """An event with its time on the common clock, in seconds."""

    __slots__ = ('at_s', 'event')
    at_s: float
    event: Event


class MergedTimeline(Record):
    """All events in one order.

    Parameters
    ----------
    merged : list of MergedEvent
        A cause always comes before its effect.
    clocks : dict of Clock
        Estimated clock by run.
    pairs : list of tuple
        Causes with their effects.
    misplaced : int
        Effects whose time is before that of their cause, which drifting
        clocks and damaged files lead to.
    """

    __slots__ = ('merged', 'clocks', 'pairs', 'misplaced')
    merged: list[MergedEvent]
    clocks: dict[str, Clock]
    pairs: list[Pair]
    misplaced: int


def merge(events: Events) -> MergedTimeline:
    """Estimate the clocks and put all events in one order.

    Examples
    ========

    ``merge(read_events(paths)).merged[0]`` is the first event of all files.
    """
    pairs = causes(events)
    clocks = estimate_clocks(events, pairs)
    times = {
        event.key: event.monotonic_s + clocks[event.run].offset_s
        for event in events
    }
    order = _ordered(events, _Graph(events, pairs), times)
    early = [
        effect
        for cause, effect in pairs
        if times[effect.key] < times[cause.key] - ROUNDING_S
    ]
    return MergedTimeline(
        merged=[
            MergedEvent(at_s=times[event.key], event=event) for event in order
        ],
        clocks=clocks,
        pairs=pairs,
        misplaced=len(early),
    )


def _ordered(
    events: Events,
    graph: '_Graph',
    times: _Times,
) -> Iterator[Event]:
    left = {event.key: event for event in events}
    ready = [_entry(left[key], times) for key in graph.without_causes()]
    heapq.heapify(ready)
    while left:
        # Causes in a circle only occur in damaged files.
        if not ready:
            ready = [min(_entry(event, times) for event in left.values())]
        key = heapq.heappop(ready)[-1]
        if key not in left:
            continue
        yield left.pop(key)
        for effect in graph.release(key):
            heapq.heappush(ready, _entry(effect, times))


class _Graph:
    """Events that wait for their causes."""

    __slots__ = ('_effects', '_open_causes')

    def __init__(self, events: Events, pairs: Iterable[Pair]) -> None:
        self._effects: dict[EventKey, list[Event]] = {
            event.key: [] for event in events
        }
        self._open_causes = dict.fromkeys(self._effects, 0)
        inside = map(pairwise, events.by_run.values())
        for cause, effect in chain(*inside, pairs):
            self._effects[cause.key].append(effect)
            self._open_causes[effect.key] += 1

    def without_causes(self) -> list[EventKey]:
        """Return the events that wait for nothing."""
        return [key for key, count in self._open_causes.items() if not count]

    def release(self, key: EventKey) -> Iterator[Event]:
        """Yield the effects of an event that now wait for nothing."""
        for effect in self._effects[key]:
            self._open_causes[effect.key] -= 1
            if not self._open_causes[effect.key]:
                yield effect


def _entry(event: Event, times: _Times) -> _HeapEntry:
    return (times[event.key], event.key)
