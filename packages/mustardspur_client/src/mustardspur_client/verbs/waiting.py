"""Verb that waits for an index to be in force."""

from argparse import ArgumentParser
from typing import Any, Final

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.polling import add_polling_arguments, poll
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.registry import verb
from mustardspur_client.verbs.services import (
    add_service_argument,
    service_path,
    waiting_nodes,
)

# Time within which an accepted configuration comes into force on all nodes.
DEFAULT_WITHIN_S: Final = 14


def _wait_arguments(parser: ArgumentParser) -> None:
    add_service_argument(parser)
    parser.add_argument(
        'index',
        type=int,
        nargs='?',
        help='the index, by default the newest accepted one',
    )
    add_polling_arguments(parser, DEFAULT_WITHIN_S)


@verb('wait', _wait_arguments)
async def wait(invocation: Invocation) -> ExitCode:
    """Wait until an index is in force on every node of a service."""
    path = service_path(invocation.option('service'))
    awaited_index = invocation.option('index')
    last: dict[str, Any] = {}
    async for body in poll(invocation, path):
        last = body
        awaited_index = (
            body['accepted_index'] if awaited_index is None else awaited_index
        )
        if _in_force(body, awaited_index):
            break
    invocation.warn_if_stale(last)
    if not _in_force(last, awaited_index):
        raise _timed_out(last, awaited_index)
    names = [node['node'] for node in last['nodes']]
    invocation.output.show(
        {'service': last['service'], 'index': awaited_index, 'nodes': names},
        lambda shown: _show(invocation, shown),
    )
    return ExitCode.OK


def _in_force(body: dict[str, Any], index: int) -> bool:
    if body['accepted_index'] < index or not body['nodes']:
        return False
    return not waiting_nodes(body, index)


def _timed_out(body: dict[str, Any], index: int) -> VerbError:
    service = body['service']
    waiting = waiting_nodes(body, index)
    reason = f'{len(waiting)} nodes wait'
    if body['accepted_index'] < index:
        accepted = body['accepted_index']
        reason = f'the newest accepted index is {accepted}'
    elif not body['nodes']:
        reason = 'no node of the service is known'
    return VerbError(
        ExitCode.TIMED_OUT,
        f'{service}: index {index} is not in force everywhere: {reason}',
        waiting,
    )


def _show(invocation: Invocation, shown: dict[str, Any]) -> None:
    count = len(shown['nodes'])
    invocation.output.line(
        f'{shown["service"]}: index {shown["index"]} is in force '
        f'on all {count} nodes',
    )
