"""Readers of plain values, each checking one shape."""

from collections.abc import Callable
from typing import Any, Final

Reader = Callable[[Any, str], Any]
MAX_DESCRIBED_CHARS: Final = 60


class DecodeError(ValueError):
    """A plain value does not fit the type of a record's field.

    Parameters
    ----------
    path : str
        Place of the value, for example ``routes[2].weights``.
    expected : str
        What the field takes.
    found : str
        What was there.
    """

    def __init__(self, path: str, expected: str, found: str) -> None:
        """Build the message from the three parts."""
        super().__init__(f'{path}: expected {expected}, found {found}')
        self.path = path
        self.expected = expected
        self.found = found


class _ListReader:
    __slots__ = ('_entry',)

    def __init__(self, entry: Reader) -> None:
        self._entry = entry

    def __call__(self, part: Any, path: str) -> list[Any]:
        if not isinstance(part, list):
            raise DecodeError(path, 'a list', describe(part))
        return [
            self._entry(entry, f'{path}[{place}]')
            for place, entry in enumerate(part)
        ]


class _DictReader:
    __slots__ = ('_entry',)

    def __init__(self, entry: Reader) -> None:
        self._entry = entry

    def __call__(self, part: Any, path: str) -> dict[str, Any]:
        if not isinstance(part, dict):
            raise DecodeError(path, 'an object', describe(part))
        if not all(isinstance(key, str) for key in part):
            raise DecodeError(path, 'text keys', describe(part))
        return {
            key: self._entry(entry, f'{path}.{key}')
            for key, entry in part.items()
        }


class _ScalarReader:
    __slots__ = ('_scalar',)

    def __init__(self, scalar: type) -> None:
        self._scalar = scalar

    def __call__(self, part: Any, path: str) -> Any:
        if part.__class__ is self._scalar:
            return part
        if isinstance(part, self._scalar) and self._fits(part):
            return part
        if self._scalar is float and isinstance(part, int):
            return float(part)
        raise DecodeError(path, self._scalar.__name__, describe(part))

    def _fits(self, part: Any) -> bool:
        # bool is a subclass of int, but no field takes one for the other.
        return self._scalar is bool or not isinstance(part, bool)


def list_reader(entry: Reader) -> Reader:
    """Return a reader of a list whose entries another reader reads."""
    return _ListReader(entry)


def dict_reader(entry: Reader) -> Reader:
    """Return a reader of an object whose values another reader reads."""
    return _DictReader(entry)


def scalar_reader(scalar: type) -> Reader:
    """Return a reader of one scalar type; an int serves as a float."""
    return _ScalarReader(scalar)


def describe(part: object) -> str:
    """Return the type and the start of a value for a message."""
    type_name = type(part).__name__
    shown = repr(part)[:MAX_DESCRIBED_CHARS]
    return f'{type_name} {shown}'
