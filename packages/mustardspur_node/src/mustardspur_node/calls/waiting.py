"""Calls that wait for the first byte of an answer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager


class WaitingCall:
    """A call that was sent and has no answer yet.

    Parameters
    ----------
    sent_at : float
        Loop's clock in seconds.
    abandon : callable
        Closes the call's connection.
    movable : bool
        Whether it may run a second time elsewhere.
    """

    __slots__ = ('abandon', 'abandoned', 'movable', 'sent_at')

    def __init__(
        self,
        sent_at: float,
        abandon: Callable[[], None],
        *,
        movable: bool,
    ) -> None:
        """Keep how to give the call up."""
        self.sent_at = sent_at
        self.abandon = abandon
        self.movable = movable
        self.abandoned = False


class WaitingCalls:
    """The waiting calls of one target, oldest first."""

    __slots__ = ('_calls',)

    def __init__(self) -> None:
        """Start empty."""
        self._calls: dict[WaitingCall, None] = {}

    @contextmanager
    def listed(self, call: WaitingCall) -> Iterator[None]:
        """List a call until the block ends."""
        self._calls[call] = None
        try:
            yield
        finally:
            self._calls.pop(call)

    def oldest_sent_at(self) -> float | None:
        """Return when the oldest was sent, None if no call waits."""
        oldest = next(iter(self._calls), None)
        return None if oldest is None else oldest.sent_at

    def sent_before(self, limit_at: float) -> Iterator[WaitingCall]:
        """Iterate over a copy of the calls sent before a time."""
        for call in list(self._calls):
            if call.sent_at >= limit_at:
                return
            yield call
