"""Estimate of the rate at which a link delivers large bodies."""

from typing import Final

from mustardspur_core.units import MS_PER_S

# Bytes per second of one Mbit/s.
BYTES_PER_MBIT: Final = 125_000
# Part of the link's bandwidth that bodies use. Packet headers take 5 % of the
# bytes of a part, and the rest is left to small calls.
BODY_FRACTION: Final = 0.9
# Time over which the received bytes are counted for one measurement. A link of
# 3 to 4 Mbit/s delivers 14 to 20 parts in it; 5 or 6 parts gave errors of 17 %.
INTERVAL_S: Final = 0.3
# Queueing delay above which the link is slower than the estimate. A part of
# 8 KB takes 16 to 22 ms on links of 3 to 4 Mbit/s.
MAX_DELAY_S: Final = 0.03
# After a measurement below the estimate the rate is set below the measured
# one, so that the queue of the link becomes empty.
DRAIN_FACTOR: Final = 0.9
# The estimate rises by this factor with each interval without delays.
RISE_FACTOR: Final = 1.1
# Lower bound of the estimate as a fraction of the stated rate; senders that
# are slow together look like a slow link.
MIN_FRACTION: Final = 0.1
# Time without bodies after which the stated rate is assumed again.
RESTART_S: Final = 1.0
# Factor on the estimated time of a transfer. Parts also wait at senders that
# send several bodies.
TIME_MARGIN: Final = 1.2


def transfer_ms(size: int, link_mbps: float) -> float:
    """Return the time of a body on an otherwise unused link; 0 for none."""
    if not link_mbps:
        return 0
    return size / (BODY_FRACTION * link_mbps * BYTES_PER_MBIT) * MS_PER_S


class LinkRate:
    """Rate at which parts of bodies may be requested over a link.

    Explanation
    ===========

    The estimate starts from the stated bandwidth. Each part has a delay: the
    time from its request to its receipt, less the round trip of its sender.
    If even the smallest delay in an interval is high, the parts of several
    senders queue on the link, which is then slower than the estimate. The
    parts of one sender alone may queue on its own link.

    Parameters
    ----------
    link_mbps : float
        Stated bandwidth of the link; 0 for an unlimited one.

    Attributes
    ----------
    stated_bytes_per_s : float
        Rate of bodies at the stated bandwidth.
    bytes_per_s : float
        Present estimate.
    """

    __slots__ = (
        '_interval_bytes',
        '_interval_start_s',
        '_last_s',
        '_least_delay_s',
        '_senders',
        'bytes_per_s',
        'stated_bytes_per_s',
    )

    def __init__(self, link_mbps: float) -> None:
        """Initialise with the stated bandwidth."""
        self.stated_bytes_per_s = float('inf')
        if link_mbps:
            self.stated_bytes_per_s = BODY_FRACTION * link_mbps * BYTES_PER_MBIT
        self.bytes_per_s = self.stated_bytes_per_s
        self._last_s = float('-inf')
        self._interval_start_s: float = 0
        self._interval_bytes = 0
        self._least_delay_s = float('inf')
        self._senders: set[object] = set()

    def wait_s(self, ahead: int, overtaking_per_s: float) -> float:
        """Return the time until a number of bytes ahead has arrived.

        Parameters
        ----------
        ahead : int
            Bytes that are ahead now.
        overtaking_per_s : float
            Bytes per second that arrive and go first as well.
        """
        if not ahead:
            return 0
        left_per_s = self.bytes_per_s - overtaking_per_s
        if left_per_s <= 0:
            return float('inf')
        return TIME_MARGIN * ahead / left_per_s

    def end_s(self, size: int, now_s: float) -> float:
        """Return the time at which a number of bytes has arrived."""
        return now_s + TIME_MARGIN * size / self.bytes_per_s

    def record(
        self,
        sender: object,
        size: int,
        delay_s: float,
        now_s: float,
    ) -> None:
        """Count a received part.

        Parameters
        ----------
        sender : object
            The stream that the part was received on.
        size : int
            Bytes of the part.
        delay_s : float
            Queueing delay of the part.
        now_s : float
            Time of the receipt.
        """
        idle_s = now_s - self._last_s
        self._last_s = now_s
        if idle_s > RESTART_S:
            self.bytes_per_s = self.stated_bytes_per_s
            self._start_interval(now_s)
            return
        self._interval_bytes += size
        self._senders.add(sender)
        self._least_delay_s = min(self._least_delay_s, delay_s)
        length_s = now_s - self._interval_start_s
        if length_s >= INTERVAL_S:
            self._update(self._interval_bytes / length_s)
            self._start_interval(now_s)

    def _start_interval(self, now_s: float) -> None:
        self._interval_start_s = now_s
        self._interval_bytes = 0
        self._least_delay_s = float('inf')
        self._senders.clear()

    def _update(self, measured_per_s: float) -> None:
        highest = self.stated_bytes_per_s
        if self._least_delay_s <= MAX_DELAY_S:
            self.bytes_per_s = min(highest, self.bytes_per_s * RISE_FACTOR)
        elif len(self._senders) > 1 and measured_per_s < highest:
            self.bytes_per_s = max(
                min(self.bytes_per_s, DRAIN_FACTOR * measured_per_s),
                MIN_FRACTION * highest,
            )
