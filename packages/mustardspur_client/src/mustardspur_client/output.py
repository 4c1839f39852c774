"""Output of the verbs: tables for people, JSON for scripts."""

import json
from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from types import MappingProxyType
from typing import IO, Any, Final

from rich.console import Console
from rich.table import Table

from mustardspur_client.problems import Problem

# A file or a pipe has no width; tables are made for a wide terminal.
PLAIN_WIDTH: Final = 120

_Describe = Callable[[dict[str, Any]], str]


class Output:
    """Where a verb writes its result and its messages.

    Parameters
    ----------
    form : str
        ``table`` or ``json``.
    stdout, stderr : text file
        Results go to the first one, messages to the second one.
    """

    __slots__ = ('as_json', 'console', 'messages')

    def __init__(self, form: str, stdout: IO[str], stderr: IO[str]) -> None:
        """Open a console for each of the two files."""
        self.as_json = form == 'json'
        self.console = _console(stdout)
        self.messages = _console(stderr)

    def show(self, body: Any, render: Callable[[Any], None]) -> None:
        """Write a result as JSON, or as the tables that `render` prints."""
        if self.as_json:
            self.write_json(body)
        else:
            render(body)

    def write_json(self, body: Any) -> None:
        """Write a JSON document in one line."""
        self.line(json.dumps(body))

    def line(self, text: str) -> None:
        """Write a line of the result."""
        self.console.print(text, soft_wrap=True)

    def message(self, text: str) -> None:
        """Write a line beside the result."""
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

    def problem(self, problem: Problem) -> None:
        """Write why a verb ended, on standard error."""
        if self.as_json:
            body = {'error': problem.message, 'details': problem.details}
            self.message(json.dumps(body))
            return
        self.message(problem.message)
        for detail in problem.details:
            self.message(f'  {detail_line(detail)}')


def detail_line(detail: dict[str, Any]) -> str:
    """Return a finding, change or node as a line for a person."""
    for key, describe in _describers.items():
        if key in detail:
            return describe(detail)
    return ', '.join(str(part) for part in detail.values())


def _finding_line(finding: dict[str, Any]) -> str:
    place = f'{finding["source"]}: {finding["path"]}'
    return f'{place}: expected {finding["expected"]}, found {finding["found"]}'


def _node_line(node: dict[str, Any]) -> str:
    reason = node['reason'] or 'not reported yet'
    return f'{node["node"]}: index {node["index"]} in force, waiting: {reason}'


_describers: MappingProxyType[str, _Describe] = MappingProxyType(
    {'path': _finding_line, 'node': _node_line}
)


def time_text(wall_s: float) -> str:
    """Return a wall clock time as text in UTC."""
    moment = datetime.fromtimestamp(wall_s, UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def _console(output: IO[str]) -> Console:
    width = None if output.isatty() else PLAIN_WIDTH
    return Console(
        file=output,
        width=width,
        markup=False,
        highlight=False,
        emoji=False,
    )
