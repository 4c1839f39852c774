"""Verb that checks a routing table before it is sent."""

from argparse import ArgumentParser
from pathlib import Path

from mustardspur_core.conversion import decode_mapping, encode_mapping
from mustardspur_core.findings import Finding
from mustardspur_core.mesh import RoutingTable
from mustardspur_core.mesh.checks import check_table
from mustardspur_core.mesh.table_differences import table_differences
from mustardspur_core.mesh.table_warnings import table_warnings
from mustardspur_core.readers import DecodeError

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.files import read_document
from mustardspur_client.verbs.registry import verb


def _arguments(parser: ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='JSON file with the table')
    parser.add_argument(
        '--against',
        type=Path,
        help='JSON file with the table in force, to list what differs',
    )


@verb('check-table', _arguments, needs_control=False)
async def check_table_file(invocation: Invocation) -> ExitCode:
    """Check a routing table offline: errors, warnings and differences."""
    table = _read_table(invocation.path_option('file'))
    against = invocation.option('against')
    errors = check_table(table)
    warnings = table_warnings(table)
    differences = (
        table_differences(_read_table(against), table) if against else []
    )
    body = {
        'errors': [encode_mapping(each) for each in errors],
        'warnings': [encode_mapping(each) for each in warnings],
        'differences': differences,
    }
    invocation.output.show(
        body,
        lambda _: _show(invocation, errors, warnings, differences),
    )
    return ExitCode.FINDINGS if errors else ExitCode.OK


def _show(
    invocation: Invocation,
    errors: list[Finding],
    warnings: list[Finding],
    differences: list[str],
) -> None:
    for error in errors:
        invocation.output.line(f'error: {error}')
    for warning in warnings:
        invocation.output.line(f'warning: {warning}')
    for difference in differences:
        invocation.output.line(f'change: {difference}')
    if not errors:
        invocation.output.line('no errors')


def _read_table(path: Path) -> RoutingTable:
    """Return the table of a file.

    The file has a table, or the document of the table in force that
    ``mustardspur table --output json`` shows.

    Raises
    ------
    VerbError
        If the file cannot be read or is no table.
    """
    document = read_document(path)
    if document.is_error():
        findings = [encode_mapping(entry) for entry in document.error.entries]
        raise VerbError(ExitCode.FINDINGS, f'{path} has findings', findings)
    body = document.ok
    if isinstance(body, dict) and 'table' in body:
        body = body['table']
    try:
        return decode_mapping(RoutingTable, body)
    except DecodeError as error:
        raise VerbError(
            ExitCode.FINDINGS, f'{path} is no table: {error}', []
        ) from error
