"""Tests of the program that runs Python with SIGHUP ignored."""

import json
import os
import signal
import subprocess
import sys
import sysconfig
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import pytest
from mustardspur_daemon.interpreter import (
    UnusableWayError,
    __main__,
    build_interpreter,
)

_BUILDING: Final = ('-m', 'mustardspur_daemon.interpreter')
_SOURCES: Final = Path(__file__).parents[2] / 'packages/mustardspur_daemon/src'
_STATE: Final = """
import _signal, json, os, sys

print(json.dumps({
    'ignored': _signal.getsignal(_signal.SIGHUP) == _signal.SIG_IGN,
    'process': os.getpid(),
    'arguments': sys.argv[1:],
    'executable': sys.executable,
    'prefixes': [sys.prefix, sys.exec_prefix, sys.base_prefix],
    'path': sys.path,
    'flags': list(sys.flags),
    'site': 'site' in sys.modules,
    'threads': len(os.listdir('/proc/self/task')),
    'descriptors': sorted(os.listdir('/proc/self/fd')),
    'children': open(f'/proc/self/task/{os.getpid()}/children').read(),
    'variables': dict(os.environ),
    'umask': os.umask(0),
}))
"""
_HANG_LIMIT_S: Final = 60


@pytest.fixture(autouse=True)
def default_action() -> Iterator[None]:
    """Let processes start with the default action of SIGHUP."""
    former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, former)


@pytest.fixture
def without_compiler(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> Path:
    """Search programs in an empty folder only, and return it."""
    folder = tmp_path / 'programs'
    folder.mkdir()
    monkeypatch.setenv('PATH', str(folder))
    return folder


def _change_build_settings(
    monkeypatch: pytest.MonkeyPatch,
    **changed: str,
) -> None:
    """Change what Python says of its own build."""
    original = sysconfig.get_config_var
    monkeypatch.setattr(
        sysconfig,
        'get_config_var',
        lambda name: changed.get(name, original(name)),
    )


def _state(program: str, *options: str) -> tuple[int, dict[str, Any]]:
    process = subprocess.Popen(
        [program, *options, '-c', _STATE, 'a', '--b'],
        stdout=subprocess.PIPE,
    )
    output, _ = process.communicate(timeout=_HANG_LIMIT_S)
    state: dict[str, Any] = json.loads(output)
    return process.pid, state


def _write_compiler(folder: Path, text: str) -> None:
    path = folder / 'cc'
    path.write_text(f'#!/bin/sh\n{text}\n', 'utf-8')
    path.chmod(0o755)


@pytest.mark.parametrize('options', [(), ('-P',), ('-S', '-P'), ('-I',)])
def test_program_runs_python_like_the_interpreter(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    options: tuple[str, ...],
) -> None:
    """Guards against a program whose Python finds other modules, loses options
    or variables, or has another process, thread or descriptor.
    """
    monkeypatch.setenv('PYTHONPATH', str(tmp_path / 'modules'))
    built = build_interpreter(tmp_path / 'python')
    process, found = _state(str(tmp_path / 'python'), *options)
    _, expected = _state(sys.executable, *options)
    assert built.ignores_sighup
    assert found == {**expected, 'process': process, 'ignored': True}
    assert not expected['ignored']


def test_archive_is_linked_without_a_shared_library(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a Python with a static library only, for which SIGHUP is
    not ignored although it could be.
    """
    _change_build_settings(monkeypatch, LIBDIR=str(tmp_path))
    archive = Path(
        sysconfig.get_config_var('LIBPL'),
        sysconfig.get_config_var('LIBRARY'),
    )
    built = build_interpreter(tmp_path / 'python')
    _, found = _state(str(tmp_path / 'python'))
    assert built.findings[0].startswith(f'shared library: no file {tmp_path}')
    assert built.ignores_sighup == archive.exists()
    assert found['ignored'] == archive.exists()
    assert found['prefixes'][0] == sys.prefix


@pytest.mark.parametrize(
    'compiler',
    [
        pytest.param('', id='none'),
        pytest.param('echo no headers >&2; exit 1', id='fails'),
        pytest.param('exit 0', id='makes nothing'),
        pytest.param(
            'while [ "$1" != -o ]; do shift; done; echo "exit 1" > "$2"',
            id='makes what does not run',
        ),
        pytest.param(
            'while [ "$1" != -o ]; do shift; done; '
            'echo "#!/bin/sh" > "$2"; /bin/chmod +x "$2"',
            id='makes what runs no Python',
        ),
    ],
)
def test_interpreter_stands_in_without_a_compiler(
    tmp_path: Path,
    without_compiler: Path,
    capsys: pytest.CaptureFixture[str],
    compiler: str,
) -> None:
    """Guards against a missing or unusable compiler that makes a build or the
    processes fail, or that nobody is told of.
    """
    if compiler:
        _write_compiler(without_compiler, compiler)
    path = tmp_path / 'target' / 'python'
    assert __main__.main([str(path)]) == 0
    process, found = _state(str(path), '-S', '-P')
    _, expected = _state(sys.executable, '-S', '-P')
    assert found['process'] == process
    assert found['prefixes'] == expected['prefixes']
    assert found['path'] == expected['path']
    assert not found['ignored']
    assert 'SIGHUP ends a process' in capsys.readouterr().err
    assert os.listdir(path.parent) == ['python']


def test_stand_in_for_an_installed_python_is_a_link(
    tmp_path: Path,
    without_compiler: Path,
) -> None:
    """Guards against a stand-in that executes a second program where a link to
    the interpreter is enough.
    """
    path = tmp_path / 'python'
    interpreter = Path(sys.base_prefix) / 'bin/python3'
    subprocess.run(
        [interpreter, *_BUILDING, path],
        check=True,
        env={**os.environ, 'PYTHONPATH': str(_SOURCES)},
        timeout=_HANG_LIMIT_S,
    )
    assert path.is_symlink()
    assert path.samefile(interpreter)


def test_failed_build_keeps_the_former_file(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a build that fails and leaves nothing to start."""
    path = tmp_path / 'python'
    build_interpreter(path)
    former = path.read_bytes()
    monkeypatch.setattr(sys, 'executable', str(tmp_path / 'missing'))
    with pytest.raises(UnusableWayError, match='missing'):
        build_interpreter(path)
    assert path.read_bytes() == former
    assert __main__.main([str(path)]) == 3


def test_interpreter_is_run_without_the_library(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a program that starts nothing, or says nothing, after the
    library of Python was removed or replaced.
    """
    name = sysconfig.get_config_var('INSTSONAME')
    library = Path(sysconfig.get_config_var('LIBDIR'), name)
    if not library.is_file():
        pytest.skip('this Python has no shared library')
    moved = tmp_path / name
    moved.symlink_to(library)
    _change_build_settings(monkeypatch, LIBDIR=str(tmp_path))
    build_interpreter(tmp_path / 'python')
    moved.unlink()
    started = subprocess.run(
        [tmp_path / 'python', '-S', '-P', '-c', _STATE],
        capture_output=True,
        text=True,
        timeout=_HANG_LIMIT_S,
    )
    _, expected = _state(sys.executable, '-S', '-P')
    assert json.loads(started.stdout)['path'] == expected['path']
    assert json.loads(started.stdout)['ignored']
    assert f'cannot load Python, build this again: {moved}' in started.stderr
