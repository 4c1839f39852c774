"""Data centres, regions, and the distances and links between them."""

from collections.abc import Iterable
from enum import IntEnum

from mustardspur_core.record import Record


class Distance(IntEnum):
    """Distance class of two data centres, nearest first."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class DataCentre(Record):
    """A data centre and the region that it belongs to."""

    __slots__ = ('name', 'region')
    name: str
    region: str

    def distance_to(self, other: 'DataCentre') -> Distance:
        """Return the distance class of another data centre.

        Examples
        ========

        >>> split = DataCentre(name='split-a', region='dalmacija')
        >>> split.distance_to(DataCentre(name='zadar-a', region='dalmacija'))
        <Distance.SAME_REGION: 1>
        """
        if self.name == other.name:
            return Distance.SAME_DATA_CENTRE
        if self.region == other.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


class Link(Record):
    """A paid link between two regions, in alphabetical order."""

    __slots__ = ('first', 'second')
    first: str
    second: str


def link_between(one: DataCentre, other: DataCentre) -> Link | None:
    """Return the paid link between two data centres.

    Returns
    -------
    Link or None
        None if both are in one region.
    """
    if one.region == other.region:
        return None
    first, second = sorted((one.region, other.region))
    return Link(first=first, second=second)


def regions_of(data_centres: Iterable[DataCentre]) -> dict[str, list[str]]:
    """Group the names of data centres by region."""
    names_by_region: dict[str, list[str]] = {}
    for data_centre in data_centres:
        names = names_by_region.setdefault(data_centre.region, [])
        names.append(data_centre.name)
    return names_by_region
