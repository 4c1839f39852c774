"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """What a script can rely on; docs/operators.md lists the same.

    Explanation
    ===========

    ``USAGE`` is the code that argparse uses. After ``UNCERTAIN`` an edit may
    have been committed, and a resend with its edit identifier tells; after
    each other code of a failed edit it has had no effect.
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
