"""Admission of large bodies to the link of the instance."""

import math
from collections import deque
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import PlacementFault, not_sent_fault
from mustardspur_node.mesh.link_arrivals import LinkArrivals
from mustardspur_node.mesh.link_rate import BYTES_PER_MBIT, LinkRate

# Bodies of up to this size are sent with their call and without a reservation.
LARGE_BODY_BYTES: Final = 16_384
# Bodies on the link are requested and sent in parts of this size, 16 to 22 ms
# on links of 3 to 4 Mbit/s.
LINK_PART_BYTES: Final = 8_192
# Requested bytes that may be on their way: the link's bandwidth in this time,
# which covers the round trip between two regions.
WINDOW_S: Final = 0.08
MIN_WINDOW_BYTES: Final = 16_384
# Part of the window that one body may use, so that one silent sender does not
# stop all others.
BODY_WINDOW_FRACTION: Final = 0.75
# Upper bound of the window. A node handles 15 MB of parts a second, less than a
# fast link carries; small calls wait behind the parts that it has not handled.
MAX_WINDOW_BYTES: Final = 262_144
# Time after which a requested part does not hold back the parts of other
# senders, as far as the window allows.
STALE_S: Final = 0.2
# Time after which a requested part is given up and its body with it.
SENDER_SILENCE_S: Final = 0.5
# Upper bound of the round trip that is measured for a sender. If the link is
# congested at the first part of a stream, its delay would hide later ones.
MAX_ROUND_TRIP_S: Final = 0.06
# Time after which a waiting body is refused for a more urgent one only.
MAX_REPLACED_S: Final = 0.1
# Delay of a timer up to which parts are requested ahead of their time after it.
MAX_CATCH_UP_S: Final = 0.005
# A timer can run this long before its time because of rounding.
CLOCK_TOLERANCE_S: Final = 1e-5
_NEVER: Final = float('inf')


class BodySender:
    """The sending side of one stream, with its shortest round trip."""

    __slots__ = ('round_trip_s',)

    def __init__(self) -> None:
        """Initialise without a measured round trip."""
        self.round_trip_s = MAX_ROUND_TRIP_S

    def queueing_delay_s(self, age_s: float) -> float:
        """Return the delay of a part beyond the shortest round trip."""
        self.round_trip_s = min(self.round_trip_s, age_s)
        return age_s - self.round_trip_s


class LinkBody:
    """A large body that is admitted to the link.

    Parameters
    ----------
    call : CallOpen
        The call that the body belongs to.
    sender : BodySender
        The stream over which the body is sent.
    now_s : float
        Time at which the call was received.

    Attributes
    ----------
    latest_s : float
        Time by which the body has to be complete.
    rank : int
        Rank of the call; lower ranks are more urgent.
    order : tuple
        Sort key among the bodies that have not started.
    started_s : float
        Time of the first request.
    """

    __slots__ = (
        '_opened_s',
        '_requested_s',
        'latest_s',
        'order',
        'rank',
        'received',
        'requested',
        'sender',
        'size',
        'started_s',
    )

    def __init__(
        self, call: CallOpen, sender: BodySender, now_s: float
    ) -> None:
        """Initialise without requested parts."""
        self.size = call.body_bytes
        self.sender = sender
        self.latest_s = now_s + call.max_wait_ms / MS_PER_S
        self._opened_s = now_s
        self.rank = call.priority
        late, urgency = divmod(call.priority, LATE_RANK)
        # A step of priority halves the value of a call, as in `CallRanks`.
        per_byte = urgency + math.log2(self.size)
        self.order = (late, per_byte, self.size)
        self.started_s = _NEVER
        self.requested = 0
        self.received = 0
        # Times of the requests whose parts have not arrived.
        self._requested_s: deque[float] = deque()

    @property
    def left(self) -> int:
        """Bytes that have not arrived."""
        return self.size - self.received

    @property
    def on_way(self) -> int:
        """Bytes that are requested and have not arrived."""
        return self.requested - self.received

    @property
    def overdue_s(self) -> float:
        """Time at which the oldest request is given up."""
        if not self._requested_s:
            return _NEVER
        return self._requested_s[0] + SENDER_SILENCE_S

    def keeps_place(self, other: 'LinkBody', now_s: float) -> bool:
        """Return whether the body is not refused for a smaller new one.

        A late refusal leaves the caller too little time for another target.
        """
        waits_long = now_s - self._opened_s > MAX_REPLACED_S
        return waits_long and self.rank <= other.rank

    def next_stale_s(self, now_s: float) -> float:
        """Return the time at which the next request becomes stale."""
        times_s = (each + STALE_S for each in self._requested_s)
        return min((each for each in times_s if each > now_s), default=_NEVER)

    def count_recent(self, now_s: float) -> int:
        """Return the number of requests that are not stale."""
        return sum(each + STALE_S > now_s for each in self._requested_s)

    def request(self, size: int, now_s: float) -> None:
        """Count a part that is requested."""
        self.started_s = min(self.started_s, now_s)
        self.requested += size
        self._requested_s.append(now_s)

    def receive(self, size: int, now_s: float) -> float:
        """Count a received part and return its queueing delay.

        The last part is mostly shorter and arrives sooner than others would,
        so it has no delay that can be compared.
        """
        self.received += size
        requested_s = self._requested_s.popleft()
        if size < LINK_PART_BYTES:
            return _NEVER
        return self.sender.queueing_delay_s(now_s - requested_s)


class LinkAdmission:
    """Decides which large bodies cross the link, and when.

    Explanation
    ===========

    Addresses 30 Mbit/s of bodies for five links of 4.2 Mbit/s, which small
    calls use as well. Bodies are requested part by part at the rate of the
    link, so they queue here and not on the link. A body that has started is
    finished first, since its bytes would be lost; the others follow by value
    per byte. A body that cannot be complete in time is refused before any of
    its bytes are requested, also if a better one takes its place.

    All methods are given the time and do no input or output.

    Parameters
    ----------
    link_mbps : float
        Stated bandwidth of the link; 0 for an unlimited one.
    room : BodyRoom or None
        Bytes of all bodies that the node holds; None for one of its own.

    Attributes
    ----------
    rate : LinkRate
        Rate at which parts are requested.
    held_bytes : int
        Bytes of all bodies between `reserve` and `release`.
    refused : int
        Bodies refused since the start of the node.
    carried_bytes : int
        Bytes of bodies received since the start of the node.
    """

    __slots__ = (
        '_arrivals',
        '_bodies',
        '_body_window',
        '_next_s',
        '_room',
        '_window',
        'carried_bytes',
        'held_bytes',
        'rate',
        'refused',
    )

    def __init__(self, link_mbps: float, room: BodyRoom | None = None) -> None:
        """Initialise without bodies."""
        self._room = room or BodyRoom()
        self.rate = LinkRate(link_mbps)
        self._window = max(
            int(link_mbps * BYTES_PER_MBIT * WINDOW_S),
            MIN_WINDOW_BYTES,
        )
        if not link_mbps or self._window > MAX_WINDOW_BYTES:
            self._window = MAX_WINDOW_BYTES
        self._body_window = int(BODY_WINDOW_FRACTION * self._window)
        # Started bodies in the order of their start, then the others.
        self._bodies: list[LinkBody] = []
        self._arrivals = LinkArrivals()
        self._next_s = float('-inf')
        self.held_bytes = 0
        self.refused = 0
        self.carried_bytes = 0

    def __len__(self) -> int:
        """Return the number of bodies that are not complete."""
        return len(self._bodies)

    @property
    def wait_ms(self) -> float:
        """Time until the admitted bodies are complete, in milliseconds."""
        left = sum(body.left for body in self._bodies)
        return float(round(left / self.rate.bytes_per_s * MS_PER_S))

    def reserve(self, body: LinkBody, now_s: float) -> list[LinkBody]:
        """Admit a body; return the bodies that are refused in its place.

        Raises
        ------
        PlacementFault
            If the body cannot be complete in time or exceeds the memory.
        """
        if not self._room.fits(body.size):
            self.refused += 1
            held = self._room.held_bytes
            raise not_sent_fault('busy', f'{held} bytes of bodies are held')
        bodies = sorted([*self._bodies, body], key=_order)
        position = bodies.index(body)
        ahead = sum(each.left for each in bodies[:position])
        overtaking = self._arrivals.better_bytes_per_s(body.order, now_s)
        wait_s = self.rate.wait_s(ahead, overtaking)
        if self.rate.end_s(body.size, now_s + wait_s) > body.latest_s:
            raise self.refusal()
        late = self._late_behind(bodies[position:], ahead, now_s)
        if any(each.keeps_place(body, now_s) for each in late):
            raise self.refusal()
        self._arrivals.record(body.order, body.size, now_s)
        self._bodies = bodies
        self.held_bytes += body.size
        self._room.hold(body.size)
        return late

    def refusal(self) -> PlacementFault:
        """Count and return the refusal of a body for lack of capacity."""
        self.refused += 1
        return not_sent_fault('busy', f'link has {self.wait_ms:.0f} ms to send')

    def late_bodies(self, now_s: float) -> list[LinkBody]:
        """Return bodies without requests that cannot be complete any more.

        The link can become slower than it was when they were admitted.
        """
        rate = self.rate.bytes_per_s
        return [
            body
            for body in self._bodies
            if not body.requested and now_s + body.size / rate > body.latest_s
        ]

    def silent_bodies(self, now_s: float) -> list[LinkBody]:
        """Return the bodies whose senders do not send what was requested."""
        until_s = now_s + CLOCK_TOLERANCE_S
        return [body for body in self._bodies if body.overdue_s <= until_s]

    def next_request(self, now_s: float) -> tuple[LinkBody, int] | None:
        """Return the next body and the bytes to request of it, if any."""
        if now_s + CLOCK_TOLERANCE_S < self._next_s:
            return None
        body = self._next_body(now_s)
        if body is None:
            return None
        size = min(LINK_PART_BYTES, body.size - body.requested)
        body.request(size, now_s)
        self._bodies.sort(key=_order)
        # A late timer does not lower the rate.
        start_s = max(self._next_s, now_s - MAX_CATCH_UP_S)
        self._next_s = start_s + size / self.rate.bytes_per_s
        return body, size

    def next_event_s(self, now_s: float) -> float:
        """Return the time of the next request or of the next silent sender."""
        times_s = [body.overdue_s for body in self._bodies]
        if self._next_body(now_s) is not None:
            times_s.append(self._next_s)
        times_s.extend(body.next_stale_s(now_s) for body in self._bodies)
        return min(times_s, default=_NEVER)

    def receive(self, body: LinkBody, size: int, now_s: float) -> None:
        """Count a received part; a complete body leaves the link."""
        self.carried_bytes += size
        delay_s = body.receive(size, now_s)
        self.rate.record(body.sender, size, delay_s, now_s)
        if not body.left:
            self.drop(body)

    def drop(self, body: LinkBody) -> None:
        """Request no further parts of a body."""
        if body in self._bodies:
            self._bodies.remove(body)

    def release(self, body: LinkBody) -> None:
        """Drop a body, complete or not, and the memory that it holds."""
        self.held_bytes -= body.size
        self.drop(body)
        self._room.release(body.size)

    def _next_body(self, now_s: float) -> LinkBody | None:
        """Return the body to request a part of, None if enough is on its way.

        The parts on their way cover the round trip and one more part, so that
        at most one waits for the link.
        """
        on_way = sum(body.on_way for body in self._bodies)
        if on_way + LINK_PART_BYTES > self._window:
            return None
        recent = sum(body.count_recent(now_s) for body in self._bodies)
        for body in self._bodies:
            has_more = body.requested < body.size
            if has_more and body.on_way + LINK_PART_BYTES <= self._body_window:
                path = self.rate.bytes_per_s * body.sender.round_trip_s
                needed = max(path, LINK_PART_BYTES) + LINK_PART_BYTES
                return body if recent * LINK_PART_BYTES < needed else None
        return None

    def _late_behind(
        self,
        bodies: list[LinkBody],
        ahead: int,
        now_s: float,
    ) -> list[LinkBody]:
        """Return the bodies that become late because of the first one."""
        late: list[LinkBody] = []
        for body in bodies:
            if self.rate.end_s(ahead + body.left, now_s) > body.latest_s:
                late.append(body)
            else:
                ahead += body.left
        return late


def _order(body: LinkBody) -> tuple[float, tuple[int, float, int]]:
    return body.started_s, body.order
