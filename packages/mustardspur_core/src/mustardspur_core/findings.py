"""Findings of a check, each with its place."""

from mustardspur_core.record import Record


class Finding(Record):
    """One thing that a check found wrong.

    Parameters
    ----------
    source : str
        Name of the file or other input.
    path : str
        JSON path of the place, for example ``$.routes[0].weights``.
    expected : str
        What belongs there.
    found : str
        What was there.
    """

    __slots__ = ('source', 'path', 'expected', 'found')
    source: str
    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        """Show the finding in one line for a person."""
        return (
            f'{self.source}: {self.path}: expected {self.expected}, '
            f'found {self.found}'
        )


class Findings(Record):
    """All findings of one check, reported together."""

    __slots__ = ('entries',)
    entries: list[Finding]

    def __str__(self) -> str:
        """Show one finding a line."""
        return '\n'.join(str(entry) for entry in self.entries)
