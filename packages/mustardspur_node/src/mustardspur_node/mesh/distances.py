"""What the distance of a target means for the choice of one."""

from typing import Final

from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.settings import Settings

# Time of the way to a target and back, from the delays that the users name,
# with the codecs of two nodes.
OTHER_DATA_CENTRE_MS: Final = 3.0
OTHER_REGION_MS: Final = 45.0
# Added to the expected time of a call for the bytes that cross a boundary,
# which are paid for: a call in time is worth the same wherever it ran. Bytes
# between regions are about four times as dear as those between data centres.
OTHER_DATA_CENTRE_PRICE_MS: Final = 40.0
OTHER_REGION_PRICE_MS: Final = 110.0
# A report of a target's load is relied on for this time.
FRESH_S: Final = 0.25
# One of another region that was full is asked again after this time only: a
# refused call has crossed the link between regions for nothing.
FRESH_OTHER_REGION_S: Final = 1.0


class Distances:
    """Times and prices of the ways to targets.

    Parameters
    ----------
    settings : Settings
        Where this node is.
    """

    __slots__ = ('_settings',)

    def __init__(self, settings: Settings) -> None:
        """Keep where the node is."""
        self._settings = settings

    def way_ms(self, row: MeshTarget) -> float:
        """Return the time that the way to a target and back takes."""
        return self._by_distance(
            row,
            OTHER_DATA_CENTRE_MS,
            OTHER_REGION_MS,
        )

    def price_ms(self, row: MeshTarget) -> float:
        """Return the time that the bytes of a call are worth."""
        return self._by_distance(
            row,
            OTHER_DATA_CENTRE_PRICE_MS,
            OTHER_REGION_PRICE_MS,
        )

    def fresh_s(self, row: MeshTarget) -> float:
        """Return for how long a report of a target's load is relied on."""
        if row.region == self._settings.region:
            return FRESH_S
        return FRESH_OTHER_REGION_S

    def _by_distance(
        self,
        row: MeshTarget,
        other_data_centre: float,
        other_region: float,
    ) -> float:
        if row.data_centre == self._settings.data_centre:
            return 0
        if row.region == self._settings.region:
            return other_data_centre
        return other_region
