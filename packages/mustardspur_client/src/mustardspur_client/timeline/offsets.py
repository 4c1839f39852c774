"""Estimates of the processes' clock offsets from causes and effects."""

from collections.abc import Iterable
from statistics import median

from mustardspur_core.record import Record

from mustardspur_client.timeline.bounds import Bounds
from mustardspur_client.timeline.causes import Pair
from mustardspur_client.timeline.events import Events


class Clock(Record):
    """Estimated clock of a run.

    Parameters
    ----------
    offset_s : float
        To add to the monotonic clock for the common time.
    ahead_s : float
        How far the wall clock is ahead of the common time.
    error_s : float or None
        Largest error against the run with the most messages; None where
        messages in only one direction, or none at all, bound it.
    """

    __slots__ = ('run', 'offset_s', 'ahead_s', 'error_s')
    run: str
    offset_s: float
    ahead_s: float
    error_s: float | None


def estimate_clocks(events: Events, pairs: Iterable[Pair]) -> dict[str, Clock]:
    """Estimate the clock of every run.

    Explanation
    ===========

    A cause in one run and its effect in another bound the difference of the
    two offsets from one side. With messages in both directions a run is put
    in the middle of its bounds relative to the run with the most messages,
    otherwise at the one bound, as if the quickest message took no time. The
    wall clock is used only for runs without any message, and to place each
    connected group of runs as a whole by the median of its wall clocks.
    """
    wall_offsets = {
        run: median(event.wall_s - event.monotonic_s for event in run_events)
        for run, run_events in events.by_run.items()
    }
    bounds = Bounds(wall_offsets)
    for cause, effect in pairs:
        if cause.run != effect.run:
            least = cause.monotonic_s - effect.monotonic_s
            bounds.add(cause.run, effect.run, least)
    clocks: dict[str, Clock] = {}
    for group in bounds.groups():
        clocks |= _group_clocks(group, bounds, wall_offsets)
    return clocks


def _group_clocks(
    group: list[str],
    bounds: Bounds,
    wall_offsets: dict[str, float],
) -> dict[str, Clock]:
    placed = bounds.place(group)
    shift = median(wall_offsets[run] - placed[run].offset_s for run in group)
    return {
        run: Clock(
            run=run,
            offset_s=placed[run].offset_s + shift,
            ahead_s=wall_offsets[run] - placed[run].offset_s - shift,
            error_s=placed[run].error_s,
        )
        for run in group
    }
