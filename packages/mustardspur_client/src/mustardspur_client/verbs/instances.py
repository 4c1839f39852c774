"""Verbs for targets and control instances."""

from argparse import ArgumentParser
from typing import Any, Final

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.registry import verb

_TARGET_COLUMNS: Final = (
    'id',
    'service',
    'version',
    'state',
    'address',
    'slots',
    'node',
    'data_centre',
)
_STATUS_COLUMNS: Final = (
    'id',
    'role',
    'term',
    'leader',
    'commit_index',
    'applied_index',
    'connected_nodes',
)
_UNREACHABLE: Final = 'unreachable'


def _target_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('--service', help='only targets of this service')


@verb('targets', _target_arguments)
async def targets(invocation: Invocation) -> ExitCode:
    """List the targets that a control instance knows."""
    body = await invocation.control.read('/v1/targets')
    service = invocation.option('service')
    selected = [
        target
        for target in body['targets']
        if service in {None, target['service']}
    ]
    rows = [_row(target, _TARGET_COLUMNS) for target in selected]
    invocation.output.show(
        {'targets': selected},
        lambda _: invocation.output.table(_TARGET_COLUMNS, rows),
    )
    return ExitCode.OK


@verb('status')
async def status(invocation: Invocation) -> ExitCode:
    """Show the state of each given control instance."""
    bodies = await invocation.control.read_each('/v1/status')
    rows = [
        [address, *_row(body, _STATUS_COLUMNS), body.get(_UNREACHABLE, '')]
        for address, body in bodies.items()
    ]
    invocation.output.show(
        bodies,
        lambda _: invocation.output.table(
            ('asked', *_STATUS_COLUMNS, 'problem'),
            rows,
        ),
    )
    if all(_UNREACHABLE in body for body in bodies.values()):
        raise VerbError(ExitCode.UNAVAILABLE, 'no control instance answers')
    return ExitCode.OK


def _row(body: dict[str, Any], columns: tuple[str, ...]) -> list[object]:
    cells = [body.get(column, '') for column in columns]
    return [len(cell) if isinstance(cell, list) else cell for cell in cells]
