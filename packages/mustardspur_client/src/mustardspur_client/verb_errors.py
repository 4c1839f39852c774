"""Errors of verbs, with their exit codes."""

from collections.abc import Sequence
from typing import Any

from mustardspur_client.exit_codes import ExitCode


class VerbError(Exception):
    """Error that ends a verb.

    Parameters
    ----------
    code : ExitCode
        Exit code of the process.
    message : str
        Cause of the error, in one line.
    details : sequence of dict
        Related findings, changes or nodes as JSON objects.
    """

    def __init__(
        self,
        code: ExitCode,
        message: str,
        details: Sequence[dict[str, Any]] = (),
    ) -> None:
        """Initialise with an exit code, a message and details."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = list(details)
