"""Ways to make a file that starts Python, the most useful one first.

A deployment runs this before its other packages may be importable, so only the
standard library is imported.
"""

import os
import shlex
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Callable
from pathlib import Path
from typing import Final

# Linking a static Python takes a few seconds.
TIMEOUT_S: Final = 120
_SOURCE: Final = Path(__file__).with_name('program.c')
_COMPILERS: Final = ('cc', 'gcc', 'clang')
# At a fixed position there is little to relocate before the program runs.
_OPTIONS: Final = ('-O2', '-fno-pie', '-no-pie', '-Wl,-z,now')
_ARCHIVE_LIBRARIES: Final = ('LIBS', 'MODLIBS', 'SYSLIBS')
_EXECUTABLE_MODE: Final = 0o755
# How C writes any byte in a string literal.
_OCTAL_BYTE: Final = r'\{0:03o}'

Way = Callable[[Path], None]
ways_by_name: dict[str, Way] = {}


class UnusableWayError(Exception):
    """A way to start Python that this machine does not have."""


def _way(name: str) -> Callable[[Way], Way]:
    """Register a function that makes the file, tried in this order."""

    def decorator(make: Way) -> Way:
        ways_by_name[name] = make
        return make

    return decorator


@_way('shared library')
def _load_library(made: Path) -> None:
    library = _existing(
        Path(_build_setting('LIBDIR'), _build_setting('INSTSONAME')),
        Path(_build_setting('LIBDIR'), _build_setting('LDLIBRARY')),
    )
    _compile(made, f'-DPYTHON_LIBRARY={_quoted(library)}', '-ldl')


@_way('archive')
def _link_archive(made: Path) -> None:
    archive = _existing(
        Path(_build_setting('LIBPL'), _build_setting('LIBRARY')),
        Path(_build_setting('LIBDIR'), _build_setting('LIBRARY')),
    )
    libraries = ' '.join(map(_build_setting, _ARCHIVE_LIBRARIES))
    _compile(
        made,
        # Extension modules need symbols that the program does not.
        '-rdynamic',
        '-Wl,--whole-archive',
        str(archive),
        '-Wl,--no-whole-archive',
        *shlex.split(libraries),
    )


@_way('link')
def _link_interpreter(made: Path) -> None:
    made.symlink_to(sys.executable)


@_way('script')
def _write_script(made: Path) -> None:
    """Write a script, since a link is not in the virtual environment."""
    made.write_text(
        f'#!/bin/sh\nexec {shlex.quote(sys.executable)} "$@"\n',
        encoding='utf-8',
    )
    made.chmod(_EXECUTABLE_MODE)


def _compile(made: Path, *arguments: str) -> None:
    compiled = subprocess.run(
        [
            _compiler(),
            *_OPTIONS,
            f'-DPYTHON_EXECUTABLE={_quoted(Path(sys.executable))}',
            str(_SOURCE),
            '-o',
            str(made),
            *arguments,
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    if compiled.returncode:
        raise UnusableWayError(compiled.stderr.strip())


def _compiler() -> str:
    for name in _COMPILERS:
        path = shutil.which(name)
        if path:
            return path
    names = ', '.join(_COMPILERS)
    raise UnusableWayError(f'no compiler, looked for {names}')


def _existing(*paths: Path) -> Path:
    for path in paths:
        if path.is_file():
            return path
    raise UnusableWayError(f'no file {paths[0]}')


def _build_setting(name: str) -> str:
    return sysconfig.get_config_var(name) or ''


def _quoted(path: Path) -> str:
    """Return a path as a string literal of C."""
    encoded = ''.join(map(_OCTAL_BYTE.format, os.fsencode(path)))
    return f'"{encoded}"'
