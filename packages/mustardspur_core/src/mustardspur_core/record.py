"""Base class of plain data classes with slots."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, ClassVar, TypeVar, dataclass_transform

_RecordT = TypeVar('_RecordT', bound='Record')
# Factories of the defaults of optional fields, by field name.
Defaults = Mapping[str, Callable[[], Any]]


@dataclass_transform(kw_only_default=True, eq_default=False)
class Record:
    """Base class of plain data classes.

    Explanation
    ===========

    A subclass lists its fields in ``__slots__`` and annotates each of them.
    Fields are passed by keyword and have no defaults, so that a new field
    cannot be forgotten where a record is created.

    Encoded records leave out trailing fields listed in ``optional`` while
    they have their default, so that a field can be added without a change of
    the bytes that earlier builds exchange and store.

    Attributes
    ----------
    optional : mapping of str to callable
        Factories of the defaults of trailing fields, by field name.

    Examples
    ========

    >>> class Point(Record):
    ...     __slots__ = ('x', 'y')
    ...     x: int
    ...     y: int
    >>> Point(x=1, y=2)
    Point(x=1, y=2)
    """

    __slots__: ClassVar[tuple[str, ...]] = ()
    optional: ClassVar[Defaults] = MappingProxyType({})

    def __init__(self, **fields: Any) -> None:
        """Initialise all fields from keyword arguments.

        Raises
        ------
        TypeError
            If a field is missing or unknown.
        """
        if len(fields) != len(self.__slots__):
            mismatched = set(fields).symmetric_difference(self.__slots__)
            raise TypeError(
                f'{type(self).__name__}: missing or unknown fields '
                f'{sorted(mismatched)}'
            )
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def __eq__(self, other: object) -> bool:
        """Compare all fields with those of a record of the same class."""
        if not isinstance(other, type(self)):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self) -> int:
        """Return a hash of the fields; TypeError if one is unhashable."""
        return hash(tuple(getattr(self, name) for name in self.__slots__))

    def __repr__(self) -> str:
        """Return the class name and the fields."""
        fields = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({fields})'


def replaced(record: _RecordT, **changes: Any) -> _RecordT:
    """Return a copy of a record with some fields changed.

    Parameters
    ----------
    record : Record
        The record to copy; it is not modified.
    **changes : object
        New values by field name.

    Returns
    -------
    Record
        A record of the same class.
    """
    fields = {name: getattr(record, name) for name in record.__slots__}
    return type(record)(**(fields | changes))
