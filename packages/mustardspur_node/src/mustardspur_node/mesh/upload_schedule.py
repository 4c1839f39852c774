"""Expected times at which waiting bodies of callers get their room."""

import heapq

from mustardspur_node.mesh.upload import Upload


class UploadSchedule:
    """Plays the release of the room ahead.

    Parameters
    ----------
    active : list of Upload
        Bodies with room.
    free_bytes : int
        Bytes that are free.
    hold_s : float
        Time for which a body is expected to hold its room.
    now_s : float
        The current time.
    """

    __slots__ = ('_ends', '_free_bytes', '_hold_s', '_now_s', '_start_s')

    def __init__(
        self,
        active: list[Upload],
        free_bytes: int,
        hold_s: float,
        now_s: float,
    ) -> None:
        """Initialise at the current time."""
        self._free_bytes = free_bytes
        self._hold_s = hold_s
        self._now_s = now_s
        self._start_s = now_s
        self._ends = [
            (max(each.started_s + hold_s, now_s), each.held) for each in active
        ]
        heapq.heapify(self._ends)

    def place_in_time(self, upload: Upload) -> bool:
        """Place the next waiting body; return False if it would be late.

        A late body takes no room, since it is refused.
        """
        start_s = self._start_s
        while self._ends and self._free_bytes < upload.wanted:
            end_s, size = heapq.heappop(self._ends)
            start_s = max(start_s, end_s)
            self._free_bytes += size
        self._start_s = start_s
        waits = start_s > self._now_s
        end_s = start_s + self._hold_s if waits else start_s
        if end_s > upload.deadline_s:
            return False
        self._free_bytes -= upload.wanted
        heapq.heappush(self._ends, (start_s + self._hold_s, upload.wanted))
        return True
