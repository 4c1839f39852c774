"""Verbs for moves."""

from argparse import ArgumentParser
from typing import Any, Final
from urllib.parse import quote

from mustardspur_core.edits import MoveOrder
from mustardspur_core.state import MoveState

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verbs.edits import add_edit_arguments, show_accepted
from mustardspur_client.verbs.move_tables import show_move, show_moves
from mustardspur_client.verbs.registry import verb

_MOVE: Final = 'move'


def _list_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('--service', help='only moves of this service')
    parser.add_argument(
        '--state',
        choices=[state.value for state in MoveState],
        help='only moves in this state',
    )


@verb('moves', _list_arguments)
async def list_moves(invocation: Invocation) -> ExitCode:
    """List the moves, newest last."""
    body = await invocation.control.read('/v1/moves')
    invocation.warn_if_stale(body)
    moves = [
        move for move in body['moves'] if _matches_filters(invocation, move)
    ]
    invocation.output.show(
        body | {'moves': moves},
        lambda _: show_moves(invocation.output, moves),
    )
    return ExitCode.OK


def add_move_argument(parser: ArgumentParser) -> None:
    """Add the argument for the identifier of a move."""
    parser.add_argument(_MOVE, help='identifier, service:target_set:index')


@verb(_MOVE, add_move_argument)
async def show_single_move(invocation: Invocation) -> ExitCode:
    """Show a move with its decisions, reasons and figures."""
    body = await invocation.control.read(move_path(invocation.option(_MOVE)))
    invocation.warn_if_stale(body)
    invocation.output.show(
        body,
        lambda _: show_move(invocation.output, body),
    )
    return ExitCode.OK


def move_path(move: str) -> str:
    """Return the HTTP path of a move."""
    return f'/v1/moves/{quote(move)}'


def _order_arguments(parser: ArgumentParser) -> None:
    add_move_argument(parser)
    add_edit_arguments(parser)


@verb('pause', _order_arguments)
async def pause(invocation: Invocation) -> ExitCode:
    """Hold a move at its share; its stated time stays."""
    return await _order(invocation, MoveOrder.PAUSE)


@verb('resume', _order_arguments)
async def resume(invocation: Invocation) -> ExitCode:
    """Let a paused move go on."""
    return await _order(invocation, MoveOrder.RESUME)


@verb('take-back', _order_arguments)
async def take_back(invocation: Invocation) -> ExitCode:
    """Send all traffic of a move back to its old version."""
    return await _order(invocation, MoveOrder.TAKE_BACK)


@verb('force', _order_arguments)
async def force(invocation: Invocation) -> ExitCode:
    """Send all traffic of a move to its new version."""
    return await _order(invocation, MoveOrder.FORCE)


async def _order(invocation: Invocation, order: MoveOrder) -> ExitCode:
    move = invocation.option(_MOVE)
    accepted = await invocation.control.edit(
        'POST',
        f'{move_path(move)}/orders',
        invocation.identity() | {'order': order.value},
    )
    show_accepted(invocation, accepted, f'{order.value} {move}')
    return ExitCode.OK


def _matches_filters(invocation: Invocation, move: dict[str, Any]) -> bool:
    filters = {
        'service': invocation.option('service'),
        'state': invocation.option('state'),
    }
    return all(
        move[name] == text for name, text in filters.items() if text is not None
    )
