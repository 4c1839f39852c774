"""Verbs for the routing table and the transfers of a mesh."""

from argparse import ArgumentParser
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from mustardspur_core.conversion import encode_mapping

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.files import read_document
from mustardspur_client.verbs.registry import verb
from mustardspur_client.verbs.services import add_service_argument

_TABLE_PATH: Final = '/v1/table'
_TRANSFERS_PATH: Final = '/v1/transfers'
_ROUTE_COLUMNS: Final = ('route', 'host', 'path', 'services', 'timeout ms')
_TRANSFER_COLUMNS: Final = ('service', 'version', 'state', 'share')


@verb('table')
async def show_table(invocation: Invocation) -> ExitCode:
    """Show the routing table in force."""
    body = await invocation.control.read(_TABLE_PATH)
    routes = body['table']['routes'].values()
    invocation.output.show(
        body,
        lambda _: invocation.output.table(
            _ROUTE_COLUMNS,
            [_route_row(route) for route in routes],
        ),
    )
    return ExitCode.OK


def _put_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='JSON file with the table')
    parser.add_argument(
        '--base',
        type=int,
        required=True,
        help='number of the table that this one replaces, 0 for none',
    )


@verb('put-table', _put_arguments)
async def put_table(invocation: Invocation) -> ExitCode:
    """Replace the routing table."""
    path = invocation.option('file')
    document = read_document(path)
    if document.is_error():
        findings = [encode_mapping(entry) for entry in document.error.entries]
        raise VerbError(ExitCode.FINDINGS, f'{path} has findings', findings)
    accepted = await invocation.control.edit(
        'PUT',
        _TABLE_PATH,
        {'base': invocation.option('base'), 'table': document.ok},
    )
    number = accepted['number']
    invocation.output.show(
        accepted,
        lambda _: invocation.output.line(f'table {number} accepted'),
    )
    return ExitCode.OK


def _transfer_arguments(parser: ArgumentParser) -> None:
    add_service_argument(parser)
    parser.add_argument('version', help='version that is to get the calls')
    parser.add_argument(
        '--within',
        required=True,
        help='time until it is done or taken back, for example 600s',
    )


@verb('transfer', _transfer_arguments)
async def start_transfer(invocation: Invocation) -> ExitCode:
    """Move the calls of a mesh's service to another version."""
    service = invocation.option('service')
    accepted = await invocation.control.edit(
        'POST',
        _TRANSFERS_PATH,
        {
            'service': service,
            'version': invocation.option('version'),
            'within': invocation.option('within'),
        },
    )
    invocation.output.show(
        accepted,
        lambda _: invocation.output.line(f'transfer of {service} accepted'),
    )
    return ExitCode.OK


@verb('show-transfer', add_service_argument)
async def show_transfer(invocation: Invocation) -> ExitCode:
    """Show the newest transfer of a mesh's service."""
    service = quote(invocation.option('service'))
    body = await invocation.control.read(f'{_TRANSFERS_PATH}/{service}')
    row = [body[name] for name in _TRANSFER_COLUMNS]
    invocation.output.show(
        body,
        lambda _: invocation.output.table(_TRANSFER_COLUMNS, [row]),
    )
    return ExitCode.OK


def _route_row(route: dict[str, Any]) -> list[object]:
    shares = ', '.join(
        '{service} {weight:g}'.format(**share) for share in route['shares']
    )
    return [
        route['name'],
        route['host'],
        route['path_prefix'],
        shares,
        route['timeout_ms'],
    ]
