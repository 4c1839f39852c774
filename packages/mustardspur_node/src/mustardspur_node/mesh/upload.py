"""A large body of a caller."""

import math
from typing import Final

# While others wait, a body keeps its room only if this many bytes arrive in
# this time. The slowest caller on the same instance is far faster.
STALL_S: Final = 1.0
STALL_BYTES: Final = 65_536
_NEVER: Final = float('inf')


class Upload:
    """A large body of a caller.

    Parameters
    ----------
    size : int
        Stated size, or `GROWTH_BYTES` if none is stated.
    priority : int
        Priority of the route; lower ones are more urgent.
    deadline_s : float
        Time by which the caller is answered.
    now_s : float
        Time at which the body is first waiting to be read.

    Attributes
    ----------
    held : int
        Bytes of the room that the body has.
    wanted : int
        Further bytes that it waits for.
    """

    __slots__ = (
        '_moved_bytes',
        '_moved_s',
        'deadline_s',
        'held',
        'is_complete',
        'opened_s',
        'order',
        'started_s',
        'wanted',
    )

    def __init__(
        self,
        size: int,
        priority: int,
        deadline_s: float,
        now_s: float,
    ) -> None:
        """Initialise without room."""
        self.wanted = size
        self.held = 0
        self.deadline_s = deadline_s
        self.opened_s = now_s
        self.started_s = _NEVER
        self.is_complete = False
        # A step of priority halves the value of a call, as in `CallRanks`.
        self.order = (priority + math.log2(size), now_s)
        self._moved_s = now_s
        self._moved_bytes = 0

    def start(self, now_s: float) -> None:
        """Take the room that the body waits for."""
        self.started_s = min(self.started_s, now_s)
        self._moved_s = now_s
        self.held += self.wanted
        self.wanted = 0

    def receive(self, size: int, now_s: float) -> None:
        """Count received bytes."""
        self._moved_bytes += size
        if self._moved_bytes >= STALL_BYTES:
            self._moved_bytes = 0
            self._moved_s = now_s

    def excuse(self, pause_s: float, now_s: float) -> None:
        """Leave out a time up to now in which the node read nothing."""
        # Bytes of the pause may have been read already.
        self._moved_s = min(self._moved_s + pause_s, now_s)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether its caller sends too slowly to keep the room."""
        if self.is_complete or self.wanted:
            return False
        return now_s - self._moved_s > STALL_S
