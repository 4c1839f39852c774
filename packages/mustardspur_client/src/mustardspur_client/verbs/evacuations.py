"""Verbs for the evacuation of the data centres of a mesh."""

from argparse import ArgumentParser
from typing import Any, Final
from urllib.parse import quote

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verbs.registry import verb

_EVACUATIONS_PATH: Final = '/v1/evacuations'


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('data_centre', help='name of the data centre')


@verb('evacuate', _add_arguments)
async def evacuate(invocation: Invocation) -> ExitCode:
    """Withdraw all targets of a data centre from the mesh."""
    return await _order(invocation, 'PUT')


@verb('readmit', _add_arguments)
async def readmit(invocation: Invocation) -> ExitCode:
    """End the evacuation of a data centre."""
    return await _order(invocation, 'DELETE')


@verb('evacuations')
async def show_evacuations(invocation: Invocation) -> ExitCode:
    """Show the evacuated data centres and those that are left."""
    _show(invocation, await invocation.control.read(_EVACUATIONS_PATH))
    return ExitCode.OK


async def _order(invocation: Invocation, method: str) -> ExitCode:
    name = quote(invocation.option('data_centre'), safe='')
    path = f'{_EVACUATIONS_PATH}/{name}'
    _show(invocation, await invocation.control.edit(method, path, {}))
    return ExitCode.OK


def _show(invocation: Invocation, body: dict[str, Any]) -> None:
    lines = [
        '{state}: {names}'.format(
            state=state,
            names=', '.join(body[state]) or 'none',
        )
        for state in ('evacuated', 'left')
    ]
    invocation.output.show(
        body,
        lambda _: invocation.output.line('; '.join(lines)),
    )
