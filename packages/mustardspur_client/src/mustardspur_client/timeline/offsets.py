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
        Seconds to add to the monotonic clock to get the common time.
    ahead_s : float
        Seconds by which the wall clock is ahead of the common time.
    error_s : float or None
        Largest error in seconds relative to the run with the most messages.
        None if the error is not bounded by messages in both directions.
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
    two offsets on one side. With messages in both directions, the offset of a
    run is the middle of its bounds relative to the run with the most messages.
    Otherwise it is the single bound, as if the fastest message took no time.
    The wall clock is used only for runs without messages, and to shift each
    connected group of runs by the median of its wall clocks.
    """
    wall_offsets = {
        run: median(event.wall_s - event.monotonic_s for event in run_events)
        for run, run_events in events.by_run.items()
    }
    bounds = Bounds(wall_offsets)
    for cause, effect in pairs:
        if cause.run != effect.run:
            min_difference_s = cause.monotonic_s - effect.monotonic_s
            bounds.add(cause.run, effect.run, min_difference_s)
    clocks: dict[str, Clock] = {}
    for group in bounds.groups():
        clocks |= _group_clocks(group, bounds, wall_offsets)
    return clocks


def _group_clocks(
    group: list[str],
    bounds: Bounds,
    wall_offsets: dict[str, float],
) -> dict[str, Clock]:
    estimates = bounds.estimate(group)
    shift_s = median(
        wall_offsets[run] - estimates[run].offset_s for run in group
    )
    return {
        run: Clock(
            run=run,
            offset_s=estimates[run].offset_s + shift_s,
            ahead_s=wall_offsets[run] - estimates[run].offset_s - shift_s,
            error_s=estimates[run].error_s,
        )
        for run in group
    }
