"""Chart of a merged time line."""

from importlib import import_module
from pathlib import Path
from typing import Any, Final

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.timeline.merging import MergedEvent, MergedTimeline
from mustardspur_client.verb_errors import VerbError

LANE_INCHES: Final = 0.5
WIDTH_INCHES: Final = 14
_MARKER_SIZE: Final = 40
_LINE_ALPHA: Final = 0.3


def draw(
    timeline: MergedTimeline,
    selected: list[MergedEvent],
    path: Path,
) -> None:
    """Draw a lane for each process, with lines from causes to effects.

    Parameters
    ----------
    timeline : MergedTimeline
        Merged time line with the pairs of cause and effect.
    selected : list of MergedEvent
        Events to draw.
    path : Path
        File to write; its suffix selects the format, ``.svg`` or ``.png``.

    Raises
    ------
    VerbError
        If matplotlib is not installed or there is nothing to draw.
    """
    if not selected:
        raise VerbError(ExitCode.NOT_FOUND, 'no event to draw')
    axes = _axes(selected)
    start_s = selected[0].at_s
    _draw_pairs(axes, timeline, selected)
    for name in dict.fromkeys(entry.event.name for entry in selected):
        same_name = [entry for entry in selected if entry.event.name == name]
        axes.scatter(
            [entry.at_s - start_s for entry in same_name],
            [entry.event.process for entry in same_name],
            s=_MARKER_SIZE,
            label=name,
            zorder=2,
        )
    axes.set_xlabel('seconds on the common clock')
    axes.legend(loc='upper left', bbox_to_anchor=(1, 1), fontsize='small')
    axes.figure.savefig(path, bbox_inches='tight')


def _axes(selected: list[MergedEvent]) -> Any:
    lanes = {entry.event.process for entry in selected}
    try:
        matplotlib = import_module('matplotlib')
        figures = import_module('matplotlib.figure')
    except ImportError as error:
        raise VerbError(
            ExitCode.USAGE,
            'a picture needs mustardspur-client[picture]',
        ) from error
    # Keep text as text in an SVG, so that it can be searched.
    matplotlib.rcParams['svg.fonttype'] = 'none'
    height = LANE_INCHES * (len(lanes) + 2)
    axes = figures.Figure(figsize=(WIDTH_INCHES, height)).subplots()
    # Invisible points fix the order of the lanes.
    axes.scatter([0 for _ in lanes], sorted(lanes), alpha=0)
    return axes


def _draw_pairs(
    axes: Any,
    timeline: MergedTimeline,
    selected: list[MergedEvent],
) -> None:
    start_s = selected[0].at_s
    times = {entry.event.key: entry.at_s - start_s for entry in selected}
    for cause, effect in timeline.pairs:
        if cause.key in times and effect.key in times:
            axes.plot(
                [times[cause.key], times[effect.key]],
                [cause.process, effect.process],
                color='gray',
                alpha=_LINE_ALPHA,
                zorder=1,
            )
