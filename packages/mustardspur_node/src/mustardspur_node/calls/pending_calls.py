"""Calls that wait for the head of their response."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager


class PendingCall:
    """A call that was sent and has no response yet.

    Parameters
    ----------
    sent_at : float
        Time of the event loop in seconds.
    abort : callable
        Closes the connection of the call.
    retryable : bool
        Whether the call may be sent again.
    """

    __slots__ = ('abort', 'aborted', 'retryable', 'sent_at')

    def __init__(
        self,
        sent_at: float,
        abort: Callable[[], None],
        *,
        retryable: bool,
    ) -> None:
        """Initialise as not aborted."""
        self.sent_at = sent_at
        self.abort = abort
        self.retryable = retryable
        self.aborted = False


class PendingCalls:
    """The pending calls of one target, oldest first."""

    __slots__ = ('_calls',)

    def __init__(self) -> None:
        """Initialise without calls."""
        self._calls: dict[PendingCall, None] = {}

    @contextmanager
    def registered(self, call: PendingCall) -> Iterator[None]:
        """Register a call until the end of the block."""
        self._calls[call] = None
        try:
            yield
        finally:
            self._calls.pop(call)

    def oldest_sent_at(self) -> float | None:
        """Return when the oldest call was sent, None if none is pending."""
        oldest = next(iter(self._calls), None)
        return None if oldest is None else oldest.sent_at

    def sent_before(self, limit_at: float) -> Iterator[PendingCall]:
        """Yield the calls that were sent before a time.

        The iteration uses a copy, so that calls may end meanwhile.
        """
        for call in list(self._calls):
            if call.sent_at >= limit_at:
                return
            yield call
