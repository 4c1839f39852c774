"""Entry point of the command line."""

import argparse
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import IO

import aiohttp
from mustardspur_core.event_loop import run_in_loop

from mustardspur_client.arguments import (
    CONTROL_VARIABLE,
    build_parser,
    control_addresses,
)
from mustardspur_client.control import ControlClient, retry_timing_of
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.invocation import Invocation
from mustardspur_client.numbers import last_numbers
from mustardspur_client.output import Output
from mustardspur_client.transport import HttpTransport
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs import Verb, verbs


def main() -> int:
    """Run the command line of the process and return its exit code."""
    try:
        return run_in_loop(run(sys.argv[1:], sys.stdout, sys.stderr))
    except KeyboardInterrupt:
        return ExitCode.TIMED_OUT


async def run(
    arguments: Sequence[str],
    stdout: IO[str],
    stderr: IO[str],
) -> ExitCode:
    """Run one verb.

    Parameters
    ----------
    arguments : sequence of str
        The command line without the program's name.
    stdout, stderr : text file
        Streams for the result and for messages.

    Raises
    ------
    SystemExit
        If argparse rejects the command line or has printed the help.
    """
    options = build_parser().parse_args(arguments)
    output = Output(options.output, stdout, stderr)
    selected_verb = verbs()[options.verb]
    try:
        async with _invocation(options, output, selected_verb) as invocation:
            return await selected_verb.run(invocation)
    except VerbError as error:
        output.error(error)
        return error.code


@asynccontextmanager
async def _invocation(
    options: argparse.Namespace,
    output: Output,
    selected_verb: Verb,
) -> AsyncIterator[Invocation]:
    addresses = _addresses(options, selected_verb)
    async with aiohttp.ClientSession() as session:
        yield Invocation(
            options=options,
            output=output,
            control=ControlClient(
                addresses,
                HttpTransport(session),
                retry_timing_of(options.timeout),
            ),
            numbers=last_numbers(options.state_dir, addresses),
        )


def _addresses(options: argparse.Namespace, selected_verb: Verb) -> list[str]:
    addresses = control_addresses(options)
    if selected_verb.needs_control and not addresses:
        raise VerbError(
            ExitCode.USAGE,
            f'give --control or set {CONTROL_VARIABLE}',
        )
    return addresses
