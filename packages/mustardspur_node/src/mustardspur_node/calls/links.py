"""Rate limit for bytes on the paid links between regions."""

from typing import Final

from mustardspur_core.locations import Link

# One twentieth of a link of 30 Mbit/s, since the nodes of up to 20 instances
# of a service share the link without coordination.
NODE_BYTES_PER_S: Final = 187_500
_BURST_S: Final = 2.0


class LinkMeter:
    """Byte counter and token bucket of one node for one link.

    Parameters
    ----------
    link : Link
        The two regions that the link connects.
    """

    __slots__ = ('_available_bytes', '_refilled_at', 'bytes_total', 'link')

    def __init__(self, link: Link) -> None:
        """Initialise with a full burst."""
        self.link = link
        self.bytes_total = 0
        self._available_bytes = NODE_BYTES_PER_S * _BURST_S
        self._refilled_at: float = 0

    def allows(self, now: float) -> bool:
        """Return whether another call may use the link."""
        refilled = (
            self._available_bytes + (now - self._refilled_at) * NODE_BYTES_PER_S
        )
        self._available_bytes = min(refilled, NODE_BYTES_PER_S * _BURST_S)
        self._refilled_at = now
        return self._available_bytes > 0

    def count(self, size: int) -> None:
        """Count the bytes of a request or a response."""
        self.bytes_total += size
        self._available_bytes -= size
