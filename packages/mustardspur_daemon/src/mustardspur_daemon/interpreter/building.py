"""Building the program that runs Python with SIGHUP ignored."""

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final

from mustardspur_daemon.interpreter.ways import (
    TIMEOUT_S,
    UnusableWayError,
    Way,
    ways_by_name,
)

# What has to be the same as with the interpreter. Most of the modules are
# extension modules, which need the symbols of Python.
_PROBE: Final = """
import math, select, socket, sys, zlib

print(sys.version, sys.prefix, sys.exec_prefix, sys.base_prefix, sys.path)
"""
_STAND_INS: Final = ('link', 'script')


class Built:
    """How a file starts Python.

    Parameters
    ----------
    way : str
        How the file was made, a key of `ways_by_name`.
    findings : list of str
        Why the ways before this one were not used.
    """

    __slots__ = ('findings', 'way')

    def __init__(self, way: str, findings: list[str]) -> None:
        """Initialise with a way and the findings of those before it."""
        self.way = way
        self.findings = findings

    @property
    def ignores_sighup(self) -> bool:
        """Whether SIGHUP is ignored before Python starts."""
        return self.way not in _STAND_INS


def build_interpreter(path: Path) -> Built:
    """Make a file that runs the interpreter of this process.

    Explanation
    ===========

    It ignores SIGHUP first if a compiler and Python's library are there, and
    otherwise leads to the interpreter itself, so that what is started by it
    always starts. An existing file is replaced only once the new one has been
    seen to run Python as the interpreter does.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    Built
        How the file was made.

    Raises
    ------
    UnusableWayError
        If no file could be made.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    findings: list[str] = []
    for name, make in ways_by_name.items():
        try:
            _replace(path, make)
        except (
            UnusableWayError,
            OSError,
            subprocess.SubprocessError,
        ) as error:
            findings.append(f'{name}: {error}')
        else:
            return Built(name, findings)
    raise UnusableWayError('\n'.join(findings))


def _replace(path: Path, make: Way) -> None:
    with tempfile.TemporaryDirectory(dir=path.parent) as folder:
        made = Path(folder, path.name)
        make(made)
        expected = _probed(sys.executable)
        found = _probed(str(made))
        if found != expected:
            raise UnusableWayError(f'expected {expected}, found {found}')
        made.replace(path)


def _probed(program: str) -> str:
    probed = subprocess.run(
        [program, '-P', '-c', _PROBE],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    if probed.returncode:
        raise UnusableWayError(probed.stderr.strip())
    return probed.stdout.strip()
