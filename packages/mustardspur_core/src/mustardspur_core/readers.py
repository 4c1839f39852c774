"""Type-checking readers of plain values."""

import reprlib
from collections.abc import Callable
from typing import Any, Final

from mustardspur_core.texts import MAX_ERROR_CHARS, shorten

Reader = Callable[[Any, str], Any]
MAX_DESCRIBED_CHARS: Final = 60
# Lists in lists are described up to this depth: `repr` of a thousand nested
# lists, which a frame can contain, raises RecursionError.
_MAX_DEPTH: Final = 10
_MAX_CHARS: Final = 4 * MAX_DESCRIBED_CHARS


class DecodeError(ValueError):
    """A plain value does not match the type of a record's field.

    Parameters
    ----------
    path : str
        Path of the value, for example ``routes[2].weights``.
    expected : str
        Description of a valid value.
    found : str
        Description of the value found.
    """

    def __init__(self, path: str, expected: str, found: str) -> None:
        """Initialise the error and its message."""
        # Keys of objects are part of the path, and can be of any length.
        self.path = shorten(path, MAX_ERROR_CHARS)
        self.expected = expected
        self.found = shorten(found, MAX_ERROR_CHARS)
        super().__init__(
            f'{self.path}: expected {expected}, found {self.found}'
        )


class _ListReader:
    __slots__ = ('_read_entry',)

    def __init__(self, entry: Reader) -> None:
        self._read_entry = entry

    def __call__(self, value: Any, path: str) -> list[Any]:
        if not isinstance(value, list):
            raise DecodeError(path, 'a list', describe(value))
        return [
            self._read_entry(entry, f'{path}[{index}]')
            for index, entry in enumerate(value)
        ]


class _DictReader:
    __slots__ = ('_read_entry',)

    def __init__(self, entry: Reader) -> None:
        self._read_entry = entry

    def __call__(self, value: Any, path: str) -> dict[str, Any]:
        if not isinstance(value, dict):
            raise DecodeError(path, 'an object', describe(value))
        if not all(isinstance(key, str) for key in value):
            raise DecodeError(path, 'string keys', describe(value))
        return {
            key: self._read_entry(entry, f'{path}.{key}')
            for key, entry in value.items()
        }


class _ScalarReader:
    __slots__ = ('_scalar',)

    def __init__(self, scalar: type) -> None:
        self._scalar = scalar

    def __call__(self, value: Any, path: str) -> Any:
        if value.__class__ is self._scalar:
            return value
        if isinstance(value, self._scalar) and self._fits(value):
            return value
        if self._scalar is float and isinstance(value, int):
            return float(value)
        raise DecodeError(path, self._scalar.__name__, describe(value))

    def _fits(self, value: Any) -> bool:
        # bool is a subclass of int, but it is not valid in a number field.
        return self._scalar is bool or not isinstance(value, bool)


def list_reader(entry: Reader) -> Reader:
    """Return a reader of lists that applies `entry` to each entry."""
    return _ListReader(entry)


def dict_reader(entry: Reader) -> Reader:
    """Return a reader of objects that applies `entry` to each value."""
    return _DictReader(entry)


def scalar_reader(scalar: type) -> Reader:
    """Return a reader of one scalar type; float also accepts an int."""
    return _ScalarReader(scalar)


def describe(value: object) -> str:
    """Return the type and a shortened representation of a value."""
    type_name = type(value).__name__
    shown = _shortened.repr(value)[:MAX_DESCRIBED_CHARS]
    return f'{type_name} {shown}'


def _limited_repr() -> reprlib.Repr:
    limited = reprlib.Repr()
    limited.maxlevel = _MAX_DEPTH
    # The middle of longer values is left out, behind what is shown.
    limited.maxstring = _MAX_CHARS
    limited.maxother = _MAX_CHARS
    limited.maxlong = _MAX_CHARS
    limited.maxlist = MAX_DESCRIBED_CHARS
    limited.maxdict = MAX_DESCRIBED_CHARS
    return limited


_shortened: Final = _limited_repr()
