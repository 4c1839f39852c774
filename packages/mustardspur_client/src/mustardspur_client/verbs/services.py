"""Verbs for services."""

from argparse import ArgumentParser
from typing import Any, Final
from urllib.parse import quote

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verbs.edits import add_edit_arguments, show_accepted
from mustardspur_client.verbs.move_tables import show_moves
from mustardspur_client.verbs.registry import verb

_NODE_COLUMNS: Final = ('node', 'data centre', 'in force', 'received', 'reason')
_SERVICE: Final = 'service'
_COLUMNS: Final = (
    _SERVICE,
    'profile',
    'number',
    'accepted index',
    'in force on',
    'nodes',
)


def _follow_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(_SERVICE, help='name of the service')
    parser.add_argument('profile', help='name of the profile')
    add_edit_arguments(parser)


@verb('follow', _follow_arguments)
async def follow(invocation: Invocation) -> ExitCode:
    """Let a service follow a profile from now on."""
    service = invocation.option(_SERVICE)
    profile = invocation.option('profile')
    accepted = await invocation.control.edit(
        'PUT',
        service_path(service),
        invocation.identity() | {'profile': profile},
    )
    show_accepted(invocation, accepted, f'service {service}')
    return ExitCode.OK


def add_service_argument(parser: ArgumentParser) -> None:
    """Add the argument for the name of a service."""
    parser.add_argument(_SERVICE, help='name of the service')


@verb(_SERVICE, add_service_argument)
async def show_service(invocation: Invocation) -> ExitCode:
    """Show what is accepted for a service and in force on each node."""
    path = service_path(invocation.option(_SERVICE))
    body = await invocation.control.read(path)
    invocation.warn_if_stale(body)
    invocation.output.show(body, lambda _: _show(invocation, body))
    return ExitCode.OK


@verb('services')
async def list_services(invocation: Invocation) -> ExitCode:
    """List the services with the profiles that they follow."""
    body = await invocation.control.read('/v1/services')
    invocation.warn_if_stale(body)
    rows = [_row(service) for service in body['services']]
    invocation.output.show(
        body,
        lambda _: invocation.output.table(_COLUMNS, rows),
    )
    return ExitCode.OK


def service_path(service: str) -> str:
    """Return the HTTP path of a service."""
    return f'/v1/services/{quote(service)}'


def waiting_nodes(body: dict[str, Any], index: int) -> list[dict[str, Any]]:
    """Return the nodes on which an index is not in force yet."""
    return [node for node in body['nodes'] if node['index'] < index]


def _row(body: dict[str, Any]) -> list[object]:
    waiting = waiting_nodes(body, body['accepted_index'])
    count = len(body['nodes'])
    return [
        body[_SERVICE],
        body['profile'],
        body['number'],
        body['accepted_index'],
        count - len(waiting),
        count,
    ]


def _show(invocation: Invocation, body: dict[str, Any]) -> None:
    output = invocation.output
    output.table(_COLUMNS, [_row(body)])
    output.table(
        _NODE_COLUMNS,
        [
            (
                node['node'],
                node['data_centre'],
                node['index'],
                node['pending_index'],
                node['reason'],
            )
            for node in body['nodes']
        ],
    )
    show_moves(output, body['moves'])
