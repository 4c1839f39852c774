"""Failures of a verb, each with its exit code."""

from collections.abc import Sequence
from typing import Any

from mustardspur_client.exit_codes import ExitCode


class Problem(Exception):
    """A verb cannot go on.

    Parameters
    ----------
    code : ExitCode
        Exit code of the process.
    message : str
        What happened, in one line.
    details : sequence of dict
        Findings, changes or nodes that belong to it, as JSON objects.
    """

    def __init__(
        self,
        code: ExitCode,
        message: str,
        details: Sequence[dict[str, Any]] = (),
    ) -> None:
        """Keep the parts beside the message."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = list(details)
