"""Plain data classes with slots."""

from typing import Any, ClassVar, TypeVar, dataclass_transform

_RecordT = TypeVar('_RecordT', bound='Record')


@dataclass_transform(kw_only_default=True, eq_default=False)
class Record:
    """Base of the plain data classes.

    Explanation
    ===========

    A subclass names its fields once in ``__slots__`` and annotates each.
    The fields are given by keyword and none has a default, so that a new
    field cannot be forgotten where a record is built.

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

    def __init__(self, **fields: Any) -> None:
        """Take every field by keyword."""
        if len(fields) != len(self.__slots__):
            odd = set(fields).symmetric_difference(self.__slots__)
            raise TypeError(
                f'{type(self).__name__}: check fields {sorted(odd)}'
            )
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def __eq__(self, other: object) -> bool:
        """Compare the fields of two records of one class."""
        if not isinstance(other, type(self)):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    def __hash__(self) -> int:
        """Hash the fields; fails where one of them is mutable."""
        return hash(tuple(getattr(self, name) for name in self.__slots__))

    def __repr__(self) -> str:
        """Show the class and its fields."""
        fields = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({fields})'


def replaced(record: _RecordT, **changes: Any) -> _RecordT:
    """Return a copy of a record with some fields changed.

    Parameters
    ----------
    record : Record
        The record to copy; it stays as it is.
    **changes : object
        New values by field name.

    Returns
    -------
    Record
        A record of the same class.
    """
    fields = {name: getattr(record, name) for name in record.__slots__}
    return type(record)(**(fields | changes))
