"""Merge of the events of all processes into one order."""

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
    """Event with its time on the common clock in seconds."""

    __slots__ = ('at_s', 'event')
    at_s: float
    event: Event


class MergedTimeline(Record):
    """Events of all processes in one order.

    Parameters
    ----------
    merged : list of MergedEvent
        All events; a cause always precedes its effects.
    clocks : dict of Clock
        Estimated clock by run.
    pairs : list of tuple
        Pairs of cause and effect.
    misplaced : int
        Number of effects with an earlier time than their cause, as a result
        of drifting clocks or damaged files.
    """

    __slots__ = ('merged', 'clocks', 'pairs', 'misplaced')
    merged: list[MergedEvent]
    clocks: dict[str, Clock]
    pairs: list[Pair]
    misplaced: int


def merge(events: Events) -> MergedTimeline:
    """Return all events in one order, with the estimated clocks.

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
    misplaced = [
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
        misplaced=len(misplaced),
    )


def _ordered(
    events: Events,
    graph: '_Graph',
    times: _Times,
) -> Iterator[Event]:
    remaining = {event.key: event for event in events}
    ready = [_entry(remaining[key], times) for key in graph.without_causes()]
    heapq.heapify(ready)
    while remaining:
        # Only damaged files can have circular causes.
        if not ready:
            ready = [min(_entry(event, times) for event in remaining.values())]
        key = heapq.heappop(ready)[-1]
        if key not in remaining:
            continue
        yield remaining.pop(key)
        for effect in graph.release(key):
            heapq.heappush(ready, _entry(effect, times))


class _Graph:
    """Dependencies between events and their number of pending causes."""

    __slots__ = ('_effects', '_pending_causes')

    def __init__(self, events: Events, pairs: Iterable[Pair]) -> None:
        self._effects: dict[EventKey, list[Event]] = {
            event.key: [] for event in events
        }
        self._pending_causes = dict.fromkeys(self._effects, 0)
        within_runs = map(pairwise, events.by_run.values())
        for cause, effect in chain(*within_runs, pairs):
            self._effects[cause.key].append(effect)
            self._pending_causes[effect.key] += 1

    def without_causes(self) -> list[EventKey]:
        """Return the keys of the events without pending causes."""
        return [key for key, count in self._pending_causes.items() if not count]

    def release(self, key: EventKey) -> Iterator[Event]:
        """Remove a cause; yield its effects that have no pending cause left."""
        for effect in self._effects[key]:
            self._pending_causes[effect.key] -= 1
            if not self._pending_causes[effect.key]:
                yield effect


def _entry(event: Event, times: _Times) -> _HeapEntry:
    return (times[event.key], event.key)
