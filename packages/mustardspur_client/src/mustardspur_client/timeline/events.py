"""Parser of time line files; events are grouped by run of a process."""

import json
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.findings import Finding
from mustardspur_core.record import Record

MAX_SHOWN_CHARS: Final = 80
_FIELDS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'wall_s': (int, float),
        'monotonic_s': (int, float),
        'sequence': int,
        'process': str,
        'data_centre': str,
        'event': str,
    }
)

EventKey = tuple[str, int]


class Event(Record):
    """One event of a process.

    Parameters
    ----------
    line_number : int
        Line in its file, identifies the event together with `run`.
    run : str
        Run of the process. A restart begins a new run, since the monotonic
        clock may have been reset.
    details : dict
        All other fields of the event, such as its index.
    """

    __slots__ = (
        'line_number',
        'run',
        'process',
        'data_centre',
        'wall_s',
        'monotonic_s',
        'name',
        'details',
    )
    line_number: int
    run: str
    process: str
    data_centre: str
    wall_s: float
    monotonic_s: float
    name: str
    details: dict[str, Any]

    @property
    def key(self) -> EventKey:
        """Identity of the event."""
        return self.run, self.line_number


class Events(Record):
    """Events in order by run, and findings on unusable lines."""

    __slots__ = ('by_run', 'findings')
    by_run: dict[str, list[Event]]
    findings: list[Finding]

    def __iter__(self) -> Iterator[Event]:
        """Yield all events, run by run."""
        for events in self.by_run.values():
            yield from events

    @property
    def count(self) -> int:
        """Number of events."""
        return sum(map(len, self.by_run.values()))

    def named(self, *names: str) -> list[Event]:
        """Return the events with one of these names."""
        return [event for event in self if event.name in names]


def read_events(paths: Iterable[Path]) -> Events:
    """Return the events of time line files.

    Explanation
    ===========

    A line that cannot be parsed, such as the truncated last line of a killed
    process, is left out and added to the findings.
    """
    events = Events(by_run={}, findings=[])
    for path in paths:
        reader = _FileReader(path, events)
        lines = path.read_text('utf-8', errors='replace').splitlines()
        for line_number, line in enumerate(lines, start=1):
            reader.add(line_number, line)
    return events


class _FileReader:
    """Adds the lines of one file to the events."""

    __slots__ = ('_events', '_last_by_process', '_path', '_runs_by_process')

    def __init__(self, path: Path, events: Events) -> None:
        self._path = path
        self._events = events
        self._last_by_process: dict[str, int] = {}
        self._runs_by_process: dict[str, int] = {}

    def add(self, line_number: int, line: str) -> None:
        row = _parse_row(line)
        if row is None:
            self._events.findings.append(
                _unusable_line(self._path, line_number, line)
            )
            return
        run = self._run(row['process'], row['sequence'])
        run_events = self._events.by_run.setdefault(run, [])
        run_events.append(_event(line_number, run, row))

    def _run(self, process: str, sequence: int) -> str:
        """Return the run; a sequence number that falls begins a new run."""
        runs = self._runs_by_process.get(process, 0)
        if sequence <= self._last_by_process.get(process, sequence):
            runs += 1
            self._runs_by_process[process] = runs
        self._last_by_process[process] = sequence
        return f'{process}#{runs}'


def _parse_row(line: str) -> dict[str, Any] | None:
    try:
        row = json.loads(line)
    except ValueError:
        return None
    if not isinstance(row, dict):
        return None
    if all(isinstance(row.get(name), kind) for name, kind in _FIELDS.items()):
        return row
    return None


def _event(line_number: int, run: str, row: dict[str, Any]) -> Event:
    return Event(
        line_number=line_number,
        run=run,
        process=row['process'],
        data_centre=row['data_centre'],
        wall_s=row['wall_s'],
        monotonic_s=row['monotonic_s'],
        name=row['event'],
        details={key: row[key] for key in row if key not in _FIELDS},
    )


def _unusable_line(path: Path, line_number: int, line: str) -> Finding:
    return Finding(
        source=str(path),
        path=f'line {line_number}',
        expected='an event of a time line',
        found=line[:MAX_SHOWN_CHARS],
    )
