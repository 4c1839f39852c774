"""Parser of the command line arguments."""

import argparse
import ipaddress
import os
from pathlib import Path
from typing import Final

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.verb_errors import VerbError
from mustardspur_client.verbs import Verb, verbs

CONTROL_VARIABLE: Final = 'MUSTARDSPUR_CONTROL'
STATE_VARIABLE: Final = 'MUSTARDSPUR_STATE'
DEFAULT_TIMEOUT_S: Final = 30
_MAX_PORT: Final = 65_535


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with a subparser for each registered verb."""
    parser = argparse.ArgumentParser(
        prog='mustardspur',
        description='Edit profiles and watch what is in force.',
        epilog=_exit_code_text(),
    )
    subparsers = parser.add_subparsers(
        dest='verb',
        required=True,
        metavar='VERB',
    )
    for registered in verbs().values():
        _add_verb(
            subparsers.add_parser(
                registered.name,
                help=registered.summary,
                description=registered.summary,
                epilog=_exit_code_text(),
            ),
            registered,
        )
    return parser


def control_address(text: str) -> str:
    """Return the text of an ``ip:port`` address unchanged.

    Raises
    ------
    argparse.ArgumentTypeError
        If the text is not an IP address and a port.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise argparse.ArgumentTypeError(f'{port!r} is not a port')
    return text


def control_addresses(options: argparse.Namespace) -> list[str]:
    """Return the addresses of the options, else of the environment.

    Raises
    ------
    VerbError
        If the environment variable has an invalid address.
    """
    if options.control:
        return list(options.control)
    listed = os.environ.get(CONTROL_VARIABLE, '')
    try:
        return [control_address(text) for text in listed.split(',') if text]
    except argparse.ArgumentTypeError as error:
        raise VerbError(
            ExitCode.USAGE,
            f'{CONTROL_VARIABLE}: {error}',
        ) from error


def _add_verb(parser: argparse.ArgumentParser, registered: Verb) -> None:
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default='table',
        help='form of the result',
    )
    registered.add_arguments(parser)
    if registered.needs_control:
        _add_control_arguments(parser)
    else:
        parser.set_defaults(
            control=[],
            timeout=DEFAULT_TIMEOUT_S,
            state_dir=_default_state_dir(),
        )


def _add_control_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--control',
        action='append',
        type=control_address,
        metavar='IP:PORT',
        help=f'control instance, tried in turn; {CONTROL_VARIABLE} by default',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar='SECONDS',
        help=f'for how long to try, {DEFAULT_TIMEOUT_S} by default',
    )
    parser.add_argument(
        '--state-dir',
        type=Path,
        default=_default_state_dir(),
        help='folder that remembers the numbers last read',
    )


def _default_state_dir() -> Path:
    state_dir = os.environ.get(STATE_VARIABLE)
    if state_dir:
        return Path(state_dir)
    return Path.home() / '.local' / 'state' / 'mustardspur'


def _exit_code_text() -> str:
    names = (code.name.lower().replace('_', ' ') for code in ExitCode)
    listed = ', '.join(
        f'{code.value} {name}'
        for code, name in zip(ExitCode, names, strict=True)
    )
    return f'Exit codes: {listed}.'
