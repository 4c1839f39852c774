"""Decides which bodies of callers are read, and when."""

from typing import Final

from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.hold_time import HoldTime
from mustardspur_node.mesh.upload import Upload
from mustardspur_node.mesh.upload_schedule import UploadSchedule

# Bytes by which the room of a body without a stated length grows.
GROWTH_BYTES: Final = 1_048_576
# Bytes that a connection holds whose body is not read: the buffer of the
# parser and that of the socket.
WAITING_BYTES: Final = 131_072
# Part of the room that waiting bodies may take together.
WAITING_PART: Final = 0.25
# Part of the room for the bodies of callers. The rest is left to the bodies of
# other nodes, so that two nodes full of bodies for each other can go on.
CALLERS_PART: Final = 0.8


class NoRoom(Exception):
    """A body is not read, since its room is not free in time."""


class UploadAdmission:
    """Decides which large bodies of callers are read, and which are refused.

    Explanation
    ===========

    Addresses bursts of uploads of up to 64 MiB at processes of 300 MB. A body
    of stated length takes its whole room before it is read, others take it by
    steps. What does not fit waits unread, the highest value per byte first,
    and nothing overtakes the first one. A body whose turn would come too late
    is refused at once, by the mean time for which the latest ones held their
    room. Bodies that started go before new ones; if all of them wait for more
    room, the newest one gives way.

    All methods are given the time and do no input or output.

    Parameters
    ----------
    room : BodyRoom
        Bytes of all bodies that the node holds.

    Attributes
    ----------
    hold_time : HoldTime
        Time for which bodies hold their room.
    refused : int
        Bodies refused for want of room since the start of the node.
    stalled : int
        Bodies that lost their room since the start of the node, as their
        callers sent too slowly.
    """

    __slots__ = (
        '_active',
        '_room',
        '_waiting',
        'hold_time',
        'refused',
        'stalled',
    )

    def __init__(self, room: BodyRoom) -> None:
        """Initialise without bodies."""
        self._room = room
        self._active: list[Upload] = []
        self._waiting: list[Upload] = []
        self.hold_time = HoldTime()
        self.refused = 0
        self.stalled = 0

    @property
    def waiting(self) -> int:
        """Number of bodies that wait for room."""
        return len(self._waiting) + len(self._growing)

    @property
    def active_bytes(self) -> int:
        """Bytes of the bodies that have room."""
        return sum(upload.held for upload in self._active)

    def open(self, upload: Upload, now_s: float) -> None:
        """Let a body wait for its room; `next_admitted` may admit it at once.

        Raises
        ------
        NoRoom
            If too many bodies wait, or its turn would come too late.
        """
        others = len(self._waiting)
        self._waiting.append(upload)
        self._waiting.sort(key=_order)
        self._room.hold(WAITING_BYTES)
        reason = ''
        if others * WAITING_BYTES > WAITING_PART * self._room.limit_bytes:
            reason = f'{others} bodies wait'
        elif upload in self._late_waiting(now_s):
            reason = 'its turn would come too late'
        if reason:
            self.refused += 1
            self._stop_waiting(upload)
            raise NoRoom(reason)

    def next_admitted(self, now_s: float) -> Upload | None:
        """Admit and return the next body that fits, if any."""
        growing = self._growing
        first = next(iter(growing or self._waiting), None)
        if first is None or not self._fits(first):
            return None
        if not growing:
            self._stop_waiting(first)
            self._active.append(first)
        self._room.hold(first.wanted)
        first.start(now_s)
        return first

    def late_uploads(self, now_s: float) -> list[Upload]:
        """Refuse and return the waiting bodies that cannot be read in time.

        If all bodies with room wait for more, the newest one is among them.
        """
        late = self._late_waiting(now_s)
        growing = self._growing
        is_stuck = growing and len(growing) == len(self._active)
        if is_stuck and not self._fits(growing[0]):
            late.append(growing[-1])
        self.refused += len(late)
        return late

    def stalled_uploads(self, now_s: float) -> list[Upload]:
        """Return the bodies that lose their room to waiting ones."""
        if not self.waiting:
            return []
        stalled = [each for each in self._active if each.is_stalled(now_s)]
        self.stalled += len(stalled)
        return stalled

    def excuse(self, pause_s: float, now_s: float) -> None:
        """Leave a time up to now without reads out of all stalls."""
        for upload in self._active:
            upload.excuse(pause_s, now_s)

    def close(self, upload: Upload, now_s: float) -> None:
        """Release the room of a body, or end its wait."""
        if upload in self._waiting:
            self._stop_waiting(upload)
            return
        if upload not in self._active:
            return
        self._active.remove(upload)
        if upload.is_complete:
            self.hold_time.record(now_s - upload.started_s)
        self._room.release(upload.held)
        upload.held = 0

    @property
    def _growing(self) -> list[Upload]:
        return [upload for upload in self._active if upload.wanted]

    def _stop_waiting(self, upload: Upload) -> None:
        self._waiting.remove(upload)
        self._room.release(WAITING_BYTES)

    def _free_bytes(self) -> int:
        """Return the bytes that are free for the bodies of callers."""
        limit = self._room.limit_bytes
        of_callers = int(CALLERS_PART * limit) - self.active_bytes
        return min(of_callers, limit - self._room.held_bytes)

    def _fits(self, upload: Upload) -> bool:
        if upload.wanted <= self._free_bytes():
            return True
        # A body larger than the part of callers is read alone.
        is_alone = not any(each is not upload for each in self._active)
        unread_bytes = len(self._waiting) * WAITING_BYTES
        of_others = self._room.held_bytes - unread_bytes - upload.held
        fits_all = self._room.held_bytes + upload.wanted
        return is_alone and (
            not of_others or fits_all <= self._room.limit_bytes
        )

    def _late_waiting(self, now_s: float) -> list[Upload]:
        """Return the waiting bodies whose turn would come too late."""
        started_s = (each.started_s for each in self._active)
        oldest_s = now_s - min(started_s, default=now_s)
        schedule = UploadSchedule(
            self._active,
            self._free_bytes(),
            self.hold_time.expected_s(oldest_s),
            now_s,
        )
        return [
            upload
            for upload in self._waiting
            if not schedule.place_in_time(upload)
        ]


def _order(upload: Upload) -> tuple[float, float]:
    return upload.order
