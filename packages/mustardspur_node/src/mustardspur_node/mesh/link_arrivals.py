"""Recent arrivals of large bodies, by their order on the link."""

from collections import deque
from typing import Final

# Time over which arrivals are counted; at full load 20 to 30 bodies arrive for
# a link in it.
WINDOW_S: Final = 2.0

Order = tuple[int, float, int]


class LinkArrivals:
    """Rate at which bodies arrive that overtake a waiting one.

    Explanation
    ===========

    Bodies wait in order of value per byte, so a long one is overtaken by those
    that arrive while it waits. Without them in the estimate, long bodies are
    admitted under overload and refused only after most of their time.
    """

    __slots__ = ('_arrivals',)

    def __init__(self) -> None:
        """Initialise without arrivals."""
        self._arrivals: deque[tuple[float, Order, int]] = deque()

    def record(self, order: Order, size: int, now_s: float) -> None:
        """Count an admitted body."""
        self._arrivals.append((now_s, order, size))

    def better_bytes_per_s(self, order: Order, now_s: float) -> float:
        """Return the rate of the bodies that go before one of an order."""
        arrivals = self._arrivals
        while arrivals and arrivals[0][0] < now_s - WINDOW_S:
            arrivals.popleft()
        better = sum(size for _, each, size in arrivals if each < order)
        return better / WINDOW_S
