"""Verbs for profiles."""

import json
from argparse import ArgumentParser
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from mustardspur_core.conversion import encode_mapping

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.output import detail_line, time_text
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.edits import add_edit_arguments, show_accepted
from mustardspur_client.verbs.files import check_file, checked_document
from mustardspur_client.verbs.registry import verb

_FindingsByFile = dict[str, list[dict[str, Any]]]

_COLUMNS: Final = ('profile', 'number', 'edited by', 'edited at', 'services')


def _check_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('files', nargs='+', type=Path, help='profile files')


@verb('check', _check_arguments, needs_control=False)
async def check(invocation: Invocation) -> ExitCode:
    """Check profile files offline and list every finding."""
    findings_by_file: _FindingsByFile = {}
    for path in invocation.option('files'):
        checked = check_file(path)
        findings = checked.error.entries if checked.is_error() else []
        findings_by_file[str(path)] = [
            encode_mapping(entry) for entry in findings
        ]
    invocation.output.show(
        {'files': findings_by_file},
        lambda _: _show_findings(invocation, findings_by_file),
    )
    if any(findings_by_file.values()):
        return ExitCode.FINDINGS
    return ExitCode.OK


def _put_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='profile file')
    number = parser.add_mutually_exclusive_group()
    number.add_argument(
        '--expected-number',
        type=int,
        help='number that the edit replaces; the last read one by default',
    )
    number.add_argument(
        '--new',
        action='store_const',
        const=0,
        dest='expected_number',
        help='the profile does not exist yet',
    )
    add_edit_arguments(parser)


@verb('put', _put_arguments)
async def put(invocation: Invocation) -> ExitCode:
    """Check a profile file and put it in place of the number last read."""
    document = checked_document(invocation.path_option('file'))
    name = document['name']
    body = invocation.identity() | {
        'expected_number': _expected_number(invocation, name),
        'profile': document,
    }
    path = f'/v1/profiles/{quote(name)}'
    accepted = await invocation.control.edit('PUT', path, body)
    invocation.numbers.put(name, accepted['number'])
    show_accepted(invocation, accepted, f'{name} number {accepted["number"]}')
    return ExitCode.OK


def _get_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('name', help='name of the profile')
    parser.add_argument('--save', type=Path, help='write the profile here')


@verb('get', _get_arguments)
async def get(invocation: Invocation) -> ExitCode:
    """Show a profile and remember its number for the next put."""
    name = invocation.option('name')
    body = await invocation.control.read(f'/v1/profiles/{quote(name)}')
    invocation.warn_if_stale(body)
    invocation.numbers.put(name, body['number'])
    text = json.dumps(body['profile'], indent=2)
    if invocation.option('save') is not None:
        invocation.path_option('save').write_text(f'{text}\n', 'utf-8')
    invocation.output.show(body, lambda _: _show_profile(invocation, body))
    return ExitCode.OK


@verb('list')
async def list_profiles(invocation: Invocation) -> ExitCode:
    """List the profiles with their numbers."""
    body = await invocation.control.read('/v1/profiles')
    invocation.warn_if_stale(body)
    rows = [_row(summary) for summary in body['profiles']]
    invocation.output.show(
        body,
        lambda _: invocation.output.table(_COLUMNS, rows),
    )
    return ExitCode.OK


def _expected_number(invocation: Invocation, name: str) -> int:
    given_number = invocation.option('expected_number')
    number = (
        invocation.numbers.get(name) if given_number is None else given_number
    )
    if number is None:
        raise VerbError(
            ExitCode.USAGE,
            f'{name} was not read yet: get it first, or give --new or '
            '--expected-number',
        )
    return int(number)


def _row(summary: dict[str, Any]) -> tuple[object, ...]:
    return (
        summary['name'],
        summary['number'],
        summary['edited_by'],
        time_text(summary['edited_at_s']),
        ', '.join(summary['services']),
    )


def _show_profile(invocation: Invocation, body: dict[str, Any]) -> None:
    invocation.output.table(_COLUMNS, [_row(body)])
    if invocation.option('save') is None:
        invocation.output.line(json.dumps(body['profile'], indent=2))


def _show_findings(
    invocation: Invocation,
    findings_by_file: _FindingsByFile,
) -> None:
    for name, findings in findings_by_file.items():
        if not findings:
            invocation.output.line(f'{name}: no findings')
        for finding in findings:
            invocation.output.line(detail_line(finding))
