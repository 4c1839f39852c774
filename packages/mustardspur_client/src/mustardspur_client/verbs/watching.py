"""Verb that shows the progress of a move."""

from argparse import ArgumentParser
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

from mustardspur_core.state import MoveState
from rich.progress import BarColumn, Progress, TextColumn

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.output import Output
from mustardspur_client.polling import add_polling_arguments, poll
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs.move_tables import share_text
from mustardspur_client.verbs.moves import add_move_argument, move_path
from mustardspur_client.verbs.registry import verb

_ShowState = Callable[[dict[str, Any]], None]
_STATE_FIELDS: Final = ('id', 'state', 'share', 'step', 'reason')


def _watch_arguments(parser: ArgumentParser) -> None:
    add_move_argument(parser)
    add_polling_arguments(parser, None)


@verb('watch', _watch_arguments)
async def watch(invocation: Invocation) -> ExitCode:
    """Show the progress of a move until it is done or taken back."""
    last: dict[str, Any] = {}
    path = move_path(invocation.option('move'))
    with _progress(invocation.output) as show_state:
        async for body in poll(invocation, path):
            invocation.warn_if_stale(body)
            state = _state_of(body)
            if state != last:
                show_state(state)
            last = state
            if state['state'] in {MoveState.DONE, MoveState.TAKEN_BACK}:
                break
    return _result(last)


def _result(last: dict[str, Any]) -> ExitCode:
    if last['state'] == MoveState.DONE:
        return ExitCode.OK
    move = last['id']
    reason = last['reason']
    if last['state'] == MoveState.TAKEN_BACK:
        raise VerbError(ExitCode.TAKEN_BACK, f'{move} is taken back: {reason}')
    raise VerbError(ExitCode.TIMED_OUT, f'{move} has not ended yet: {reason}')


def _state_of(body: dict[str, Any]) -> dict[str, Any]:
    in_force = len(body['in_force_on'])
    return {name: body[name] for name in _STATE_FIELDS} | {
        'in_force': in_force,
        'nodes': in_force + len(body['not_in_force_on']),
    }


@contextmanager
def _progress(output: Output) -> Iterator[_ShowState]:
    if output.as_json:
        yield output.write_json
    elif output.console.is_terminal:
        with Progress(
            TextColumn('{task.description}'),
            BarColumn(),
            console=output.console,
        ) as progress:
            task = progress.add_task('', total=1)
            yield lambda state: progress.update(
                task,
                description=_line(state),
                completed=state['share'],
            )
    else:
        yield lambda state: output.line(_line(state))


def _line(state: dict[str, Any]) -> str:
    return (
        f'step {state["step"]}: {state["state"]}, '
        f'share {share_text(state["share"])}, '
        f'step in force on {state["in_force"]} of {state["nodes"]} nodes '
        f'({state["reason"]})'
    )
