"""Verbs for the voters of the replicated log."""

from argparse import ArgumentParser
from typing import Any
from urllib.parse import quote

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.verbs.registry import verb

_LOCATION_OPTIONS = ('stream', 'http', 'data_centre', 'region')


@verb('voters')
async def voters(invocation: Invocation) -> ExitCode:
    """List the control instances that vote."""
    body = await invocation.control.read('/v1/voters')
    invocation.output.show(body, lambda _: _show(invocation, body))
    return ExitCode.OK


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('id', help='identifier of the new voter')
    for name in _LOCATION_OPTIONS:
        flag = name.replace('_', '-')
        parser.add_argument(
            f'--{flag}',
            required=True,
            help=f'{flag} of the new voter, as in its settings',
        )


@verb('add-voter', _add_arguments)
async def add_voter(invocation: Invocation) -> ExitCode:
    """Let a running control instance catch up and make it a voter."""
    body = {name: invocation.option(name) for name in _LOCATION_OPTIONS}
    return await _change(invocation, 'PUT', body)


def _remove_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('id', help='identifier of the voter')


@verb('remove-voter', _remove_arguments)
async def remove_voter(invocation: Invocation) -> ExitCode:
    """Remove a voter that is gone for good or moves away."""
    return await _change(invocation, 'DELETE', {})


async def _change(
    invocation: Invocation,
    method: str,
    body: dict[str, Any],
) -> ExitCode:
    name = quote(invocation.option('id'))
    changed = await invocation.control.edit(method, f'/v1/voters/{name}', body)
    invocation.output.show(changed, lambda _: _show(invocation, changed))
    return ExitCode.OK


def _show(invocation: Invocation, body: dict[str, Any]) -> None:
    listed = ', '.join(body['voters'])
    invocation.output.line(f'voters: {listed}')
    if not body.get('is_trusted', True):
        invocation.output.line('this instance is being refilled')
