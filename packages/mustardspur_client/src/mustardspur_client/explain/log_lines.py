"""Lines of the processes' logs."""

import json
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.findings import Finding
from mustardspur_core.record import Record

MAX_SHOWN_CHARS: Final = 80
# As `logging` writes it; the processes run in UTC.
_TIME_FORMAT: Final = '%Y-%m-%d %H:%M:%S,%f'
_FIELDS: Final[Mapping[str, type]] = MappingProxyType(
    {
        'time': str,
        'level': str,
        'message': str,
        'process': str,
        'data_centre': str,
    }
)


class LogLine(Record):
    """A line of a process's log.

    Parameters
    ----------
    at_s : float
        Wall clock of the process in seconds since 1970.
    event : str
        What happened; docs/OPERATIONS.md lists the events.
    details : dict
        Everything else that the line holds.
    """

    __slots__ = ('at_s', 'process', 'data_centre', 'event', 'details')
    at_s: float
    process: str
    data_centre: str
    event: str
    details: dict[str, Any]

    @property
    def request(self) -> str:
        """Identifier of the call that the line is about, empty for none."""
        return str(self.details.get('request') or '')


class LogLines(Record):
    """Lines in the order of their times, and what could not be read."""

    __slots__ = ('entries', 'findings')
    entries: list[LogLine]
    findings: list[Finding]


def read_log_lines(texts_by_source: Mapping[str, Iterable[str]]) -> LogLines:
    """Read logs.

    Explanation
    ===========

    A line that cannot be used, such as the torn last one of a process that
    was killed, becomes a finding and is left out.

    Parameters
    ----------
    texts_by_source : mapping
        Lines of text by the name of their file.
    """
    entries: list[LogLine] = []
    findings: list[Finding] = []
    for source, texts in texts_by_source.items():
        for place, text in enumerate(texts, start=1):
            line = _line(text)
            if line is None:
                findings.append(_unusable(source, place, text))
            else:
                entries.append(line)
    entries.sort(key=lambda entry: entry.at_s)
    return LogLines(entries=entries, findings=findings)


def _line(text: str) -> LogLine | None:
    try:
        row = json.loads(text)
        return _parsed(row)
    except (ValueError, KeyError, TypeError):
        return None


def _parsed(row: dict[str, Any]) -> LogLine:
    for name, kind in _FIELDS.items():
        if not isinstance(row[name], kind):
            raise TypeError(name)
    moment = datetime.strptime(row['time'], _TIME_FORMAT).replace(tzinfo=UTC)
    return LogLine(
        at_s=moment.timestamp(),
        process=row['process'],
        data_centre=row['data_centre'],
        event=row['message'],
        details={key: row[key] for key in row if key not in {*_FIELDS, 'name'}},
    )


def _unusable(source: str, place: int, text: str) -> Finding:
    return Finding(
        source=source,
        path=f'line {place}',
        expected='a line of a log of mustardspur',
        found=text.strip()[:MAX_SHOWN_CHARS],
    )
