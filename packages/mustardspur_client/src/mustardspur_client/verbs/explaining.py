"""Verb that explains the outcome of a call."""

import sys
from argparse import ArgumentParser
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from mustardspur_core.conversion import encode_mapping

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.explain import explain, read_log_lines
from mustardspur_client.invocation import Invocation
from mustardspur_client.output import detail_line, time_text
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.registry import verb

# Clocks of the processes differ slightly, and a cause can precede the call by
# about a second.
DEFAULT_WINDOW_S: Final = 2.0
_STDIN: Final = '-'
_PROCESS_CHARS: Final = 16


def _explain_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('request', help='identifier that the caller sent')
    parser.add_argument(
        '--logs',
        nargs='+',
        default=[_STDIN],
        metavar='FILE',
        help='logs of any number of processes; - is standard input',
    )
    parser.add_argument(
        '--window',
        type=float,
        default=DEFAULT_WINDOW_S,
        metavar='SECONDS',
        help='show changes this long before and after the call, '
        f'{DEFAULT_WINDOW_S} by default',
    )


@verb('explain', _explain_arguments, needs_control=False)
async def explain_call(invocation: Invocation) -> ExitCode:
    """Show the path of a call, its outcome and what led to it."""
    request = invocation.option('request')
    lines = read_log_lines(_texts(invocation.option('logs')))
    for finding in lines.findings:
        invocation.output.message(detail_line(encode_mapping(finding)))
    explanation = explain(lines, request, invocation.option('window'))
    if not explanation.path:
        raise VerbError(
            ExitCode.NOT_FOUND,
            f'no line of {len(lines.entries)} names {request!r}; of the calls '
            'that went well only a sample is logged',
        )
    invocation.output.show(
        encode_mapping(explanation),
        lambda body: _show(invocation, body),
    )
    return ExitCode.OK


def _texts(sources: list[str]) -> dict[str, Iterable[str]]:
    return {source: _text(source).splitlines() for source in sources}


def _text(source: str) -> str:
    if source == _STDIN:
        return sys.stdin.read()
    try:
        return Path(source).read_text('utf-8', errors='replace')
    except OSError as error:
        raise VerbError(ExitCode.NOT_FOUND, str(error)) from error


def _show(invocation: Invocation, body: dict[str, Any]) -> None:
    output = invocation.output
    start_s = body['path'][0]['at_s']
    output.line(f'first line at {time_text(start_s)}')
    for line in body['path']:
        output.line(_line_text(line, start_s))
    output.line(f'cause: {body["cause"]}')
    if body['around']:
        output.line('changes around it:')
    for change in body['around']:
        output.line(_line_text(change, start_s))


def _line_text(line: dict[str, Any], start_s: float) -> str:
    elapsed = format(line['at_s'] - start_s, '+9.3f')
    process = line['process'].ljust(_PROCESS_CHARS)
    details = ' '.join(
        f'{key}={value}'
        for key, value in line['details'].items()
        if key not in {'level', 'request'}
    )
    return f'{elapsed} s  {process} {line["event"]}: {details}'.rstrip()
