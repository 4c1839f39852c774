"""Context in which a verb runs."""

from argparse import Namespace
from pathlib import Path
from typing import Any

from mustardspur_core.record import Record

from mustardspur_client.control import ControlClient
from mustardspur_client.numbers import LastNumbers
from mustardspur_client.output import Output


class Invocation(Record):
    """One run of a verb.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed command line.
    control : ControlClient
        Client of the control instances; it connects on the first request.
    """

    __slots__ = ('options', 'output', 'control', 'numbers')
    options: Namespace
    output: Output
    control: ControlClient
    numbers: LastNumbers

    def option(self, name: str) -> Any:
        """Return the value of an option."""
        return getattr(self.options, name)

    def path_option(self, name: str) -> Path:
        """Return the value of an option that names a file."""
        return Path(self.option(name))

    def identity(self) -> dict[str, str]:
        """Return the fields that identify an edit."""
        return {
            'edit_id': self.option('edit_id'),
            'operator': self.option('operator'),
        }

    def warn_if_stale(self, body: dict[str, Any]) -> None:
        """Write a message to standard error if a read may be stale."""
        if body.get('possibly_stale'):
            reason = body.get('stale_reason', '')
            index = body.get('read_index', 0)
            self.output.message(
                f'possibly stale, read at index {index}: {reason}',
            )
