"""Verbs for the calls that are refused since they crash targets."""

from argparse import ArgumentParser
from typing import Any, Final
from urllib.parse import quote

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verbs.registry import verb

_BLOCKS_PATH: Final = '/v1/blocks'
_COLUMNS: Final = ('fingerprint', 'crashes', 'left s', 'nodes')


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument(
        'fingerprint',
        help='fingerprint of the call, as the verb blocks shows it',
    )


@verb('blocks')
async def show_blocks(invocation: Invocation) -> ExitCode:
    """Show the calls that are refused since they have crashed targets."""
    body = await invocation.control.read(_BLOCKS_PATH)
    invocation.output.show(body, lambda _: _show(invocation, body))
    return ExitCode.OK


@verb('unblock', _add_arguments)
async def unblock(invocation: Invocation) -> ExitCode:
    """Lift the block of a call everywhere."""
    fingerprint = quote(invocation.option('fingerprint'), safe='')
    path = f'{_BLOCKS_PATH}/{fingerprint}'
    body = await invocation.control.edit('DELETE', path, {})
    invocation.output.show(
        body,
        lambda _: invocation.output.line(f'lifted: {body["fingerprint"]}'),
    )
    return ExitCode.OK


def _show(invocation: Invocation, body: dict[str, Any]) -> None:
    blocks = body['blocks']
    if not blocks:
        invocation.output.line('no call is blocked')
        return
    rows = [
        [
            block['fingerprint'],
            block['crashes'],
            block['left_s'],
            ', '.join(block['nodes']),
        ]
        for block in blocks
    ]
    invocation.output.table(_COLUMNS, rows)
