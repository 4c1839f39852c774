"""Exit codes of the daemon."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the daemon."""

    STOPPED = 0
    UNEXPECTED_ERROR = 1
    BAD_SETTINGS = 2
    CANNOT_START = 3
