"""Requests of a node for the tokens of shared limits."""

import asyncio
from collections import deque
from typing import Final, Protocol

from mustardspur_core.mesh.allowance_checks import check_grant
from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
)
from mustardspur_core.record import Record
from mustardspur_core.wire import FrameStream

from mustardspur_node.mesh.limit_allowance import SentUse, end_waits

# Requests are at least this far apart.
REQUEST_INTERVAL_S: Final = 0.05
# Calls admitted in advance are reported within this time if no call waits.
REPORT_DELAY_S: Final = 0.5
# Tokens of a grant that comes later than this are not used.
WAIT_S: Final = 0.08
# Further requests are not sent while this many are unanswered.
MAX_UNANSWERED: Final = 8


class Allowance(Protocol):
    """What a node was granted of one limit."""

    @property
    def limit(self) -> str:
        """Name of the limit."""

    @property
    def must_report(self) -> bool:
        """Whether a request is to be sent without delay."""

    def next_use(self, now_s: float) -> SentUse:
        """Return what the next request says of this limit."""

    def apply(
        self,
        share: AllowanceShare,
        sent: SentUse,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Use the tokens of a grant."""

    def apply_late(self, sent: SentUse) -> None:
        """Note a grant that came too late."""


class _SentRequest(Record):
    """A request that has not been answered yet."""

    __slots__ = ('sent_s', 'entries')
    sent_s: float
    entries: list[tuple[Allowance, SentUse]]


class AllowanceRequests:
    """Sends the requests for all limits to one control instance.

    Attributes
    ----------
    is_silent : bool
        Whether a grant did not come within `WAIT_S`, and none has since.
    """

    __slots__ = (
        '_news',
        '_request_s',
        '_sent',
        '_sent_s',
        '_stream',
        '_timer',
        'is_silent',
    )

    def __init__(self) -> None:
        """Initialise without a control instance."""
        # Limits for the next request.
        self._news: dict[str, Allowance] = {}
        self._sent: deque[_SentRequest] = deque()
        self._sent_s = float('-inf')
        self._request_s = float('inf')
        self._timer: asyncio.TimerHandle | None = None
        self._stream: FrameStream | None = None
        self.is_silent = False

    @property
    def is_attached(self) -> bool:
        """Whether there is a control instance that accepts requests."""
        return self._stream is not None

    def is_attached_to(self, stream: FrameStream) -> bool:
        """Whether requests are sent on a stream."""
        return self._stream is stream

    def attach(self, stream: FrameStream) -> None:
        """Send requests on a stream, after a `detach` from any other."""
        self._stream = stream

    def detach(self) -> None:
        """Send no requests, and end the waits for those that were sent."""
        self._stream = None
        self.is_silent = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._request_s = float('inf')
        for request in self._sent:
            for _, sent in request.entries:
                end_waits(sent.waiters)
        self._sent.clear()

    def add(self, allowance: Allowance, now_s: float) -> None:
        """Include a limit in the next request."""
        if self._stream is None:
            return
        self._news[allowance.limit] = allowance
        delay_s = 0 if allowance.must_report else REPORT_DELAY_S
        self._schedule(now_s + delay_s)

    def apply(self, grant: AllowanceGrant) -> None:
        """Apply the answer to the oldest request.

        Raises
        ------
        MalformedFrame
            If it does not match the request.
        """
        if not self._sent:
            return
        now_s = _now()
        request = self._sent[0]
        check_grant(grant, [sent.use for _, sent in request.entries])
        self._sent.popleft()
        is_late = now_s - request.sent_s > WAIT_S
        self.is_silent = self.is_silent and is_late
        for (allowance, sent), share in zip(
            request.entries,
            grant.grants,
            strict=True,
        ):
            if is_late:
                allowance.apply_late(sent)
                end_waits(sent.waiters)
            else:
                allowance.apply(share, sent, request.sent_s, now_s)
        if self._news and self._timer is None:
            self._schedule(now_s)

    def _schedule(self, earliest_s: float) -> None:
        request_s = max(earliest_s, self._sent_s + REQUEST_INTERVAL_S)
        if request_s >= self._request_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._request_s = request_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(request_s, self._send)

    def _send(self) -> None:
        self._timer = None
        self._request_s = float('inf')
        if self._stream is None or len(self._sent) >= MAX_UNANSWERED:
            return
        now_s = _now()
        self._sent_s = now_s
        entries = [
            (allowance, allowance.next_use(now_s))
            for allowance in self._news.values()
        ]
        self._news = {}
        self._sent.append(_SentRequest(sent_s=now_s, entries=entries))
        self._stream.enqueue(
            AllowanceRequest(uses=[sent.use for _, sent in entries]),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
