"""Parser of the log lines of the processes."""

import json
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from types import MappingProxyType
from typing import Any, Final

from mustardspur_core.findings import Finding
from mustardspur_core.record import Record

MAX_SHOWN_CHARS: Final = 80
# Time format of `logging`; the processes run in UTC.
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
    """One line of the log of a process.

    Parameters
    ----------
    at_s : float
        Wall clock time of the process in seconds since 1970.
    event : str
        Message of the line; docs/OPERATIONS.md lists the events.
    details : dict
        All other fields of the line.
    """

    __slots__ = ('at_s', 'process', 'data_centre', 'event', 'details')
    at_s: float
    process: str
    data_centre: str
    event: str
    details: dict[str, Any]

    @property
    def request(self) -> str:
        """Identifier of the call that the line belongs to, empty for none."""
        return str(self.details.get('request') or '')


class LogLines(Record):
    """Lines in chronological order, and findings on unusable lines."""

    __slots__ = ('entries', 'findings')
    entries: list[LogLine]
    findings: list[Finding]


def read_log_lines(texts_by_source: Mapping[str, Iterable[str]]) -> LogLines:
    """Return the lines of all logs in chronological order.

    Explanation
    ===========

    A line that cannot be parsed, such as the truncated last line of a killed
    process, is left out and added to the findings.

    Parameters
    ----------
    texts_by_source : mapping
        Lines of text by file name.
    """
    entries: list[LogLine] = []
    findings: list[Finding] = []
    for source, texts in texts_by_source.items():
        for line_number, text in enumerate(texts, start=1):
            line = _parse_line(text)
            if line is None:
                findings.append(_unusable_line(source, line_number, text))
            else:
                entries.append(line)
    entries.sort(key=lambda entry: entry.at_s)
    return LogLines(entries=entries, findings=findings)


def _parse_line(text: str) -> LogLine | None:
    try:
        row = json.loads(text)
        return _parse_row(row)
    except (ValueError, KeyError, TypeError):
        return None


def _parse_row(row: dict[str, Any]) -> LogLine:
    for name, kind in _FIELDS.items():
        if not isinstance(row[name], kind):
            raise TypeError(name)
    utc_time = datetime.strptime(row['time'], _TIME_FORMAT).replace(tzinfo=UTC)
    return LogLine(
        at_s=utc_time.timestamp(),
        process=row['process'],
        data_centre=row['data_centre'],
        event=row['message'],
        details={key: row[key] for key in row if key not in {*_FIELDS, 'name'}},
    )


def _unusable_line(source: str, line_number: int, text: str) -> Finding:
    return Finding(
        source=source,
        path=f'line {line_number}',
        expected='a line of a log of mustardspur',
        found=text.strip()[:MAX_SHOWN_CHARS],
    )
