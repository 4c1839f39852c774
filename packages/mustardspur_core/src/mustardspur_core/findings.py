"""Findings of a check, each with its path in the document."""

from mustardspur_core.record import Record


class Finding(Record):
    """A fault that a check found in a document.

    Parameters
    ----------
    source : str
        Name of the file or other input.
    path : str
        JSON path of the value, for example ``$.routes[0].weights``.
    expected : str
        Description of a valid value.
    found : str
        The value found.
    """

    __slots__ = ('source', 'path', 'expected', 'found')
    source: str
    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return (
            f'{self.source}: {self.path}: expected {self.expected}, '
            f'found {self.found}'
        )


class Findings(Record):
    """All findings of one check."""

    __slots__ = ('entries',)
    entries: list[Finding]

    def __str__(self) -> str:
        """Return the findings as text, one per line."""
        return '\n'.join(str(entry) for entry in self.entries)
