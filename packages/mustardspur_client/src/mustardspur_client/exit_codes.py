"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes that scripts can rely on, as listed in docs/operators.md.

    Explanation
    ===========

    ``USAGE`` is the code that argparse uses. After ``UNCERTAIN``, an edit may
    have been committed; sending it again with its edit identifier returns the
    result. After any other code of a failed edit, it had no effect.
    """

    OK = 0
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAVAILABLE = 6
    UNCERTAIN = 7
    TIMED_OUT = 8
    TAKEN_BACK = 9
