"""Verb that merges time lines."""

from argparse import ArgumentParser
from pathlib import Path
from typing import Any, Final

from mustardspur_core.conversion import encode_mapping

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.output import detail_line, time_text
from mustardspur_client.timeline import (
    Events,
    MergedEvent,
    MergedTimeline,
    merge,
    read_events,
    select,
)
from mustardspur_client.timeline.picture import draw
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.registry import verb

_PROCESS_CHARS: Final = 12
_NAME_CHARS: Final = 18


def _timeline_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(
        'files',
        nargs='+',
        type=Path,
        help='time line files, one for each process',
    )
    parser.add_argument('--move', help='only events of this move')
    parser.add_argument('--index', type=int, help='only events of this index')
    parser.add_argument(
        '--picture',
        type=Path,
        help='write a picture here, .svg or .png',
    )


@verb('timeline', _timeline_arguments, needs_control=False)
async def timeline(invocation: Invocation) -> ExitCode:
    """Merge the time lines of all processes into one order."""
    events = _read(invocation.option('files'))
    for finding in events.findings:
        invocation.output.message(detail_line(encode_mapping(finding)))
    merged = merge(events)
    selected = select(
        merged.merged,
        invocation.option('move'),
        invocation.option('index'),
    )
    if invocation.option('picture') is not None:
        draw(merged, selected, invocation.path_option('picture'))
    invocation.output.show(
        _body(merged, selected),
        lambda body: _show(invocation, body),
    )
    return ExitCode.OK


def _read(paths: list[Path]) -> Events:
    try:
        return read_events(paths)
    except OSError as error:
        raise VerbError(ExitCode.NOT_FOUND, str(error)) from error


def _body(
    merged: MergedTimeline, selected: list[MergedEvent]
) -> dict[str, Any]:
    return {
        'events': [_event_body(entry) for entry in selected],
        'clocks': [encode_mapping(clock) for clock in merged.clocks.values()],
        'misplaced': merged.misplaced,
    }


def _event_body(entry: MergedEvent) -> dict[str, Any]:
    event = entry.event
    return {
        'at_s': round(entry.at_s, 6),
        'process': event.process,
        'data_centre': event.data_centre,
        'event': event.name,
        'details': event.details,
    }


def _show(invocation: Invocation, body: dict[str, Any]) -> None:
    output = invocation.output
    events = body['events']
    start_s = events[0]['at_s'] if events else 0
    if events:
        output.line(f'start at {time_text(start_s)} on the common clock')
    for event in events:
        output.line(_event_line(event, start_s))
    output.table(
        ('run', 'clock ahead by s', 'largest error s'),
        [_clock_row(clock) for clock in body['clocks']],
    )
    misplaced = body['misplaced']
    if misplaced:
        output.message(f'{misplaced} effects are earlier than their causes')


def _event_line(event: dict[str, Any], start_s: float) -> str:
    elapsed = format(event['at_s'] - start_s, '+12.6f')
    process = event['process'].ljust(_PROCESS_CHARS)
    name = event['event'].ljust(_NAME_CHARS)
    details = ' '.join(
        f'{key}={value}' for key, value in event['details'].items()
    )
    return f'{elapsed} s  {process} {name} {details}'.rstrip()


def _clock_row(clock: dict[str, Any]) -> list[object]:
    ahead = format(clock['ahead_s'], '+.3f')
    error_s = clock['error_s']
    error = 'not bounded' if error_s is None else format(error_s, '.3f')
    return [clock['run'], ahead, error]
