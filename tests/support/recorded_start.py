"""Starts a process of the platform with its file calls recorded.

It is run instead of ``python -m mustardspur_platform``, also with the code of
other commits, and so imports only the standard library. Every operation below
the recorded folder is appended to a file beside it, from which
`tests.support.power_loss` works out what a loss of power may leave.
"""

import errno
import importlib
import io
import json
import os
import pickle  # The file is written and read by the same test.
import runpy
import stat
import time
from pathlib import Path
from typing import Any, Final

FOLDER_VARIABLE: Final = 'RECORDED_FOLDER'
SNAPSHOT_VARIABLE: Final = 'SNAPSHOT_ENTRIES'
OPERATIONS_SUFFIX: Final = '.operations'
FAULTS_SUFFIX: Final = '.faults'
# The time of day is read often; its step is looked up at this interval.
_CLOCK_POLL_S: Final = 0.05
_NS_PER_S: Final = 1_000_000_000
_WRITING: Final = frozenset(('wb', 'xb', 'ab'))

_open = os.open
_close = os.close
_write = os.write
_pwrite = os.pwrite
_fsync = os.fsync
_replace = os.replace
_unlink = os.unlink
_mkdir = os.mkdir
_truncate = os.truncate
_ftruncate = os.ftruncate
_time_ns = time.time_ns
_io_open = io.open


class _Recorder:
    """Records operations below a folder, and knows the faults of its disk."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._operations = _open(
            folder + OPERATIONS_SUFFIX,
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        self._clock_read_s = float('-inf')
        self._clock_step_s = float()
        self.record('start', _listing(folder))

    def record(self, *operation: Any) -> None:
        _write(self._operations, pickle.dumps(operation))

    def faults(self) -> dict[str, Any]:
        try:
            with _io_open(self._folder + FAULTS_SUFFIX, 'rb') as stored:
                faults: dict[str, Any] = json.loads(stored.read())
        except FileNotFoundError:
            return {}
        return faults

    def refuses(self, operation: str) -> bool:
        return operation in self.faults().get('refused', ())

    def check(self, operation: str, path: str) -> None:
        """Raise OSError if the disk refuses an operation."""
        if self.refuses(operation):
            raise self.refusal(path)

    def refusal(self, path: str) -> OSError:
        number = getattr(errno, self.faults().get('error', 'EIO'))
        return OSError(number, os.strerror(number), path)

    def holds(self, path: Any) -> bool:
        if not isinstance(path, (str, os.PathLike)):
            return False
        absolute = os.path.abspath(path)
        return f'{absolute}{os.sep}'.startswith(f'{self._folder}{os.sep}')

    def time_ns(self) -> int:
        now_s = time.monotonic()
        if now_s - self._clock_read_s > _CLOCK_POLL_S:
            self._clock_read_s = now_s
            self._clock_step_s = self.faults().get('clock_step_s', 0)
        return _time_ns() + int(self._clock_step_s * _NS_PER_S)

    def time(self) -> float:
        return self.time_ns() / _NS_PER_S


class _FileCalls:
    """The calls of the module `os` that the processes use, recorded."""

    def __init__(self, recorder: _Recorder) -> None:
        self._recorder = recorder
        self.paths_by_descriptor: dict[int, str] = {}

    def open(self, path: Any, flags: int, *args: Any, **options: Any) -> int:
        if not self._recorder.holds(path):
            return _open(path, flags, *args, **options)
        absolute = os.path.abspath(path)
        is_new = bool(flags & os.O_CREAT) and not os.path.exists(absolute)
        if is_new:
            self._recorder.check('create', absolute)
        descriptor = _open(path, flags, *args, **options)
        number = os.fstat(descriptor).st_ino
        if is_new:
            self._recorder.record('create', absolute, number)
        elif flags & os.O_TRUNC:
            self._recorder.record('cut', number, 0)
        self.paths_by_descriptor[descriptor] = absolute
        return descriptor

    def close(self, descriptor: int) -> None:
        self.paths_by_descriptor.pop(descriptor, None)
        _close(descriptor)

    def write(self, descriptor: int, content: Any) -> int:
        if descriptor not in self.paths_by_descriptor:
            return _write(descriptor, content)
        offset = os.lseek(descriptor, 0, os.SEEK_CUR)
        written = self.pwrite(descriptor, content, offset)
        os.lseek(descriptor, offset + written, os.SEEK_SET)
        return written

    def pwrite(self, descriptor: int, content: Any, offset: int) -> int:
        path = self.paths_by_descriptor.get(descriptor)
        if path is None:
            return _pwrite(descriptor, content, offset)
        end = offset + len(content)
        grows = end > os.fstat(descriptor).st_size
        recorder = self._recorder
        if recorder.refuses('write') or (grows and recorder.refuses('grow')):
            if recorder.faults().get('partial'):
                half = bytes(content)[: len(content) // 2]
                self._write_at(descriptor, half, offset)
            raise recorder.refusal(path)
        return self._write_at(descriptor, bytes(content), offset)

    def fsync(self, descriptor: int) -> None:
        path = self.paths_by_descriptor.get(descriptor)
        if path is None:
            _fsync(descriptor)
            return
        self._recorder.check('sync', path)
        status = os.fstat(descriptor)
        is_folder = stat.S_ISDIR(status.st_mode)
        names = _names(path) if is_folder else {}
        time.sleep(self._recorder.faults().get('sync_s', 0))
        if is_folder:
            self._recorder.record('sync_folder', path, names)
        else:
            self._recorder.record('sync', status.st_ino)

    def replace(self, source: Any, target: Any) -> None:
        if self._recorder.holds(source):
            self._recorder.check('rename', str(source))
            self._recorder.record(
                'rename', os.path.abspath(source), os.path.abspath(target)
            )
        _replace(source, target)

    def unlink(self, path: Any) -> None:
        if self._recorder.holds(path) and os.path.exists(path):
            self._recorder.check('remove', str(path))
            self._recorder.record('remove', os.path.abspath(path))
        _unlink(path)

    def mkdir(self, path: Any, mode: int = 0o777) -> None:
        is_held = self._recorder.holds(path)
        if is_held and not os.path.exists(path):
            self._recorder.check('create', str(path))
        _mkdir(path, mode)
        if is_held:
            absolute = os.path.abspath(path)
            self._recorder.record('mkdir', absolute, os.stat(path).st_ino)

    def truncate(self, path: Any, length: int) -> None:
        if self._recorder.holds(path):
            self._recorder.check('cut', str(path))
            self._recorder.record('cut', os.stat(path).st_ino, length)
        _truncate(path, length)

    def ftruncate(self, descriptor: int, length: int) -> None:
        path = self.paths_by_descriptor.get(descriptor)
        if path is not None:
            self._recorder.check('cut', path)
            number = os.fstat(descriptor).st_ino
            self._recorder.record('cut', number, length)
        _ftruncate(descriptor, length)

    def open_file(self, path: Any, *args: Any) -> Any:
        """Replace `io.open`, by which `pathlib` opens files."""
        if self._recorder.holds(path) and args and args[0] in _WRITING:
            return io.BufferedWriter(_RecordedFile(self, path, args[0]))
        return _io_open(path, *args)

    def _write_at(self, descriptor: int, content: bytes, offset: int) -> int:
        number = os.fstat(descriptor).st_ino
        self._recorder.record('write', number, offset, content)
        return _pwrite(descriptor, content, offset)


class _RecordedFile(io.FileIO):
    """A file object whose writes are recorded."""

    def __init__(self, calls: _FileCalls, path: Any, mode: str) -> None:
        self._calls = calls
        super().__init__(path, mode, opener=calls.open)

    def write(self, content: Any) -> int:
        return self._calls.write(self.fileno(), content)

    def close(self) -> None:
        if not self.closed:
            self._calls.paths_by_descriptor.pop(self.fileno(), None)
        super().close()


def _listing(folder: str) -> dict[str, tuple[int, bytes | None]]:
    found: dict[str, tuple[int, bytes | None]] = {}
    for path in Path(folder).rglob('*'):
        content = None if path.is_dir() else path.read_bytes()
        found[str(path)] = (path.stat().st_ino, content)
    return found


def _names(folder: str) -> dict[str, int]:
    return {str(path): path.stat().st_ino for path in Path(folder).iterdir()}


def _install(recorder: _Recorder) -> None:
    calls = _FileCalls(recorder)
    names = {
        'open': 'open',
        'close': 'close',
        'write': 'write',
        'pwrite': 'pwrite',
        'fsync': 'fsync',
        'fdatasync': 'fsync',
        'replace': 'replace',
        'rename': 'replace',
        'unlink': 'unlink',
        'remove': 'unlink',
        'mkdir': 'mkdir',
        'truncate': 'truncate',
        'ftruncate': 'ftruncate',
    }
    for name, method in names.items():
        setattr(os, name, getattr(calls, method))
    setattr(io, _io_open.__name__, calls.open_file)
    for clock in ('time', 'time_ns'):
        setattr(time, clock, getattr(recorder, clock))


def main() -> None:
    """Run the platform's program below the recorder."""
    _install(_Recorder(os.path.abspath(os.environ[FOLDER_VARIABLE])))
    entries = os.environ.get(SNAPSHOT_VARIABLE)
    if entries is not None:
        running: Any = importlib.import_module('mustardspur_agreement.running')
        running.SNAPSHOT_ENTRIES = int(entries)
    runpy.run_module('mustardspur_platform', run_name='__main__')


if __name__ == '__main__':
    main()
