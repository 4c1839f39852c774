"""Entry point of ``python -m mustardspur_daemon.interpreter``."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from mustardspur_daemon.exit_codes import ExitCode
from mustardspur_daemon.interpreter import UnusableWayError, build_interpreter


def main(arguments: Sequence[str] | None = None) -> int:
    """Build the program, and say how it starts Python.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        One of `ExitCode`.
    """
    path = _parser().parse_args(arguments).path
    try:
        built = build_interpreter(path)
    except (UnusableWayError, OSError) as error:
        sys.stderr.write(f'{path}: cannot be built: {error}\n')
        return ExitCode.CANNOT_START
    sys.stdout.write(f'{path}: runs {sys.executable} by {built.way}\n')
    if not built.ignores_sighup:
        sys.stderr.write(
            f'{path}: SIGHUP ends a process while Python starts, since the '
            'program that ignores it was not built:\n',
        )
        sys.stderr.writelines(f'  {finding}\n' for finding in built.findings)
    return ExitCode.STOPPED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m mustardspur_daemon.interpreter',
        description='Build a program that runs this Python with SIGHUP '
        'ignored before it starts. Without a compiler or a library of Python '
        'it leads to the interpreter itself, and this is said.',
    )
    parser.add_argument('path', type=Path, help='file of the program')
    return parser


if __name__ == '__main__':
    sys.exit(main())
