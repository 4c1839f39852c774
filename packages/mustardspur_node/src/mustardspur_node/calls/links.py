"""Bytes on the paid links between regions."""

from typing import Final

from mustardspur_core.world import Link

# A twentieth of a link of 30 Mbit/s; a service has up to 20 servers whose
# nodes share the link without knowing of each other's use.
NODE_BYTES_PER_S: Final = 187_500
_BURST_S: Final = 2.0


class LinkMeter:
    """Counter and limit of one node's bytes on one link.

    Parameters
    ----------
    link : Link
        The two regions.
    """

    __slots__ = ('_at', '_left', 'bytes_total', 'link')

    def __init__(self, link: Link) -> None:
        """Start with a full burst."""
        self.link = link
        self.bytes_total = 0
        self._left = NODE_BYTES_PER_S * _BURST_S
        self._at: float = 0

    def allows(self, now: float) -> bool:
        """Return whether another call may cross the link."""
        refilled = self._left + (now - self._at) * NODE_BYTES_PER_S
        self._left = min(refilled, NODE_BYTES_PER_S * _BURST_S)
        self._at = now
        return self._left > 0

    def count(self, size: int) -> None:
        """Count bytes of a request or an answer."""
        self.bytes_total += size
        self._left -= size
