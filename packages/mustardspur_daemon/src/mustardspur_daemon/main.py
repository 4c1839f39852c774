"""Entry point of the daemon ``mustardspurd``."""

import argparse
import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

from mustardspur_core.event_loop import ignore_stop_signals, run_in_loop
from mustardspur_core.logs import configure_logs
from mustardspur_core.settings import Settings, SettingsFile
from mustardspur_core.standard_streams import open_standard_streams

from mustardspur_daemon import processes
from mustardspur_daemon.exit_codes import ExitCode
from mustardspur_daemon.recovering import recover
from mustardspur_daemon.roles import run_role
from mustardspur_daemon.starting import obtain_needs, run_reported

# Importing the module registers the roles.
ROLE_MODULES = (processes,)
Command = Callable[[Settings], int]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a control instance or a node until a stop signal.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        One of `ExitCode`.
    """
    open_standard_streams()
    options = _parser().parse_args(arguments)
    settings_file = SettingsFile(options.settings)
    load = settings_file.load if options.check else settings_file.load_settled
    loaded = load()
    if loaded.is_error():
        sys.stderr.write(f'{loaded.error}\n')
        return ExitCode.BAD_SETTINGS
    if options.check:
        sys.stdout.write(f'{options.settings}: no findings\n')
        return ExitCode.STOPPED
    serve = partial(_serve, settings_file)
    return _run(loaded.ok, recover if options.recover_alone else serve)


def _run(settings: Settings, command: Command) -> int:
    configure_logs(settings)
    return run_reported(settings, partial(command, settings))


def _serve(settings_file: SettingsFile, settings: Settings) -> int:
    obtain_needs(settings)
    run_in_loop(_run_until_stopped(settings_file, settings))
    return ExitCode.STOPPED


async def _run_until_stopped(
    settings_file: SettingsFile,
    settings: Settings,
) -> None:
    await run_role(settings_file, settings)
    ignore_stop_signals()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='mustardspurd',
        description='Run a control instance or a node of mustardspur.',
        epilog='Exit codes: 0 stopped, 1 unexpected error, 2 bad settings, '
        '3 cannot start.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        help='JSON file with the settings of this process',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings, report every finding, start nothing',
    )
    parser.add_argument(
        '--recover-alone',
        action='store_true',
        help='make this stopped control instance the only voter, after the '
        'majority is lost for good; see docs/operators.md',
    )
    return parser
