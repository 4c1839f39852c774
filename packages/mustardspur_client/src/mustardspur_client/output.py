"""Output of the verbs as tables for people or JSON for scripts."""

import json
from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from types import MappingProxyType
from typing import IO, Any, Final

from rich.console import Console
from rich.table import Table

from mustardspur_client.verb_errors import VerbError

# A file or a pipe has no width, so tables are laid out for a wide terminal.
NON_TERMINAL_WIDTH: Final = 120

_Describe = Callable[[dict[str, Any]], str]


class Output:
    """Writer of the result and the messages of a verb.

    Parameters
    ----------
    output_format : str
        ``table`` or ``json``.
    stdout, stderr : text file
        Streams for results and for messages.
    """

    __slots__ = ('as_json', 'console', 'messages')

    def __init__(
        self, output_format: str, stdout: IO[str], stderr: IO[str]
    ) -> None:
        """Initialise a console for each of the two streams."""
        self.as_json = output_format == 'json'
        self.console = _console(stdout)
        self.messages = _console(stderr)

    def show(self, body: Any, render: Callable[[Any], None]) -> None:
        """Write a result as JSON, or as the tables that `render` prints."""
        if self.as_json:
            self.write_json(body)
        else:
            render(body)

    def write_json(self, body: Any) -> None:
        """Write a JSON document as one line of the result."""
        self.line(json.dumps(body))

    def line(self, text: str) -> None:
        """Write a line of the result."""
        self.console.print(text, soft_wrap=True)

    def message(self, text: str) -> None:
        """Write a line to standard error."""
        self.messages.print(text, soft_wrap=True)

    def table(
        self,
        columns: Sequence[str],
        rows: Iterable[Sequence[object]],
        title: str | None = None,
    ) -> None:
        """Write a table."""
        table = Table(*columns, title=title, title_justify='left')
        for row in rows:
            table.add_row(*(str(entry) for entry in row))
        self.console.print(table)

    def error(self, error: VerbError) -> None:
        """Write the error of a verb to standard error."""
        if self.as_json:
            body = {'error': error.message, 'details': error.details}
            self.message(json.dumps(body))
            return
        self.message(error.message)
        for detail in error.details:
            self.message(f'  {detail_line(detail)}')


def detail_line(detail: dict[str, Any]) -> str:
    """Return a finding, change or node as one line of text."""
    for key, describe in _describers_by_key.items():
        if key in detail:
            return describe(detail)
    return ', '.join(str(part) for part in detail.values())


def _finding_line(finding: dict[str, Any]) -> str:
    location = f'{finding["source"]}: {finding["path"]}'
    return (
        f'{location}: expected {finding["expected"]}, found {finding["found"]}'
    )


def _node_line(node: dict[str, Any]) -> str:
    reason = node['reason'] or 'not reported yet'
    return f'{node["node"]}: index {node["index"]} in force, waiting: {reason}'


_describers_by_key: MappingProxyType[str, _Describe] = MappingProxyType(
    {'path': _finding_line, 'node': _node_line}
)


def time_text(wall_s: float) -> str:
    """Return a wall clock time in seconds since 1970 as text in UTC."""
    utc_time = datetime.fromtimestamp(wall_s, UTC)
    return utc_time.strftime('%Y-%m-%d %H:%M:%SZ')


def _console(stream: IO[str]) -> Console:
    width = None if stream.isatty() else NON_TERMINAL_WIDTH
    return Console(
        file=stream,
        width=width,
        markup=False,
        highlight=False,
        emoji=False,
    )
