"""Crashes of the local target, and the calls that may have caused them."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.record import Record

from mustardspur_node.mesh.fingerprints import call_fingerprint
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.target_pool import TargetPool

_LOG: Final = logging.getLogger(__name__)

# Time after a broken call in which the others at the target break off as well.
SETTLE_S: Final = 0.02
# Calls that broke off within this time before a connection was refused were
# at the target when it crashed.
CRASH_WINDOW_S: Final = 0.5
# Fingerprints of answered calls that are remembered.
MAX_ANSWERED: Final = 4096
# Answered calls that are kept until the first crash, and the largest body of
# one. A fingerprint takes 6 us without a body and 107 us with 60 KB, so none is
# computed for them before it is needed.
MAX_RECENT: Final = 128
MAX_RECENT_BODY_BYTES: Final = 4096
# Crashes that are reported again on a new stream to a control instance.
MAX_REPORTED: Final = 64
MAX_BROKEN: Final = 256


class Crash(Record):
    """A crash of the local target.

    Parameters
    ----------
    number : int
        Number of the crash since the start of the node.
    at_s : float
        Time on the event loop's clock.
    fingerprints : list of bytes
        Fingerprints of the calls that may have caused it.
    lifted_index : int
        Log index of the latest lift of a block that the node knew, 0 for
        none.
    """

    __slots__ = ('number', 'at_s', 'fingerprints', 'lifted_index')
    number: int
    at_s: float
    fingerprints: list[bytes]
    lifted_index: int


class BrokenCall(Record):
    """A call whose connection ended before its answer."""

    __slots__ = ('at_s', 'fingerprint', 'path')
    at_s: float
    fingerprint: bytes
    path: str


class CrashObserver:
    """Tells crashes of the local target from single broken answers.

    Explanation
    ===========

    A target that resets a connection still accepts others; one that crashed
    ends all connections and refuses new ones. The calls without an answer at
    that moment are suspects, except those that the target has answered
    before: a call that crashes targets never gets an answer. `SilenceObserver`
    adds the crashes of targets that fall silent.

    Before the first crash, fingerprints of answered calls are not computed.
    The latest calls with small bodies are kept instead, since a call that is
    often at several targets at once is likely to be among them.

    Parameters
    ----------
    names : HeaderNames
        Names of the HTTP headers.

    Attributes
    ----------
    crashes : deque of Crash
        The latest crashes, oldest first.
    is_silent : bool
        Whether the target has fallen silent, and neither answered nor ended
        since.
    on_crash : callable
        Called after a crash was added.
    """

    __slots__ = (
        '_answered',
        '_broken',
        '_check',
        '_crashed_s',
        '_lifted_index',
        '_names',
        '_number',
        '_recent',
        'crashes',
        'is_silent',
        'on_crash',
    )

    def __init__(self, names: HeaderNames) -> None:
        """Initialise without calls."""
        self._names = names
        # Ordered from the least to the most recently answered call.
        self._answered: dict[bytes, None] = {}
        # Latest answered calls before the first crash.
        self._recent: deque[CallOpen] = deque(maxlen=MAX_RECENT)
        self._broken: deque[BrokenCall] = deque(maxlen=MAX_BROKEN)
        self._check: asyncio.Task[None] | None = None
        self._crashed_s = float('-inf')
        self._number = 0
        self._lifted_index = 0
        self.crashes: deque[Crash] = deque(maxlen=MAX_REPORTED)
        self.is_silent = False
        self.on_crash: Callable[[], None] = _ignore

    def record_lift(self, index: int) -> None:
        """Record the log index of the latest lift of a block.

        An instance that lags behind may state a lower one.
        """
        self._lifted_index = max(self._lifted_index, index)

    def record_answered(self, call: CallOpen) -> None:
        """Record that the target answered a call."""
        if self._number:
            self._remember_answered(call)
        elif len(call.body) <= MAX_RECENT_BODY_BYTES:
            self._recent.append(call)

    def record_broken(self, call: CallOpen, pool: TargetPool) -> None:
        """Record a call whose connection ended before its answer.

        It is then checked whether the target still accepts connections.
        """
        broken = BrokenCall(
            at_s=_now(),
            fingerprint=self.fingerprint(call),
            path=call.path,
        )
        self._broken.append(broken)
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(
                self._check_target(call.target, pool),
            )
            self._check.add_done_callback(_log_failure)

    def record_silence(self, target_id: str, calls: list[BrokenCall]) -> None:
        """Record that the target fell silent while it ran calls."""
        self.is_silent = True
        self._record_crash(target_id, calls)

    def fingerprint(self, call: CallOpen) -> bytes:
        """Return the fingerprint of a call."""
        return call_fingerprint(
            self._names, call.method, call.path, call.headers, call.body
        )

    async def _check_target(self, target_id: str, pool: TargetPool) -> None:
        await asyncio.sleep(SETTLE_S)
        accepts = await pool.accepts_connections()
        # A target that no connection reached since its crash is still down;
        # calls on older connections find it so and are no suspects.
        if accepts or pool.connected_s <= self._crashed_s:
            return
        self._crashed_s = _now()
        oldest_s = self._crashed_s - CRASH_WINDOW_S
        broken = [each for each in self._broken if each.at_s >= oldest_s]
        self._broken.clear()
        if self.is_silent:
            # The end of a silent target is no further crash.
            self.is_silent = False
        else:
            self._record_crash(target_id, broken)

    def _record_crash(self, target_id: str, broken: list[BrokenCall]) -> None:
        while self._recent:
            self._remember_answered(self._recent.popleft())
        suspects = {
            each.fingerprint: each.path
            for each in broken
            if each.fingerprint not in self._answered
        }
        self._number += 1
        _LOG.warning(
            'target crashed',
            extra={
                'target': target_id,
                'number': self._number,
                'unanswered': len(broken),
                'silent': self.is_silent,
                'suspects': {
                    fingerprint.hex(): path
                    for fingerprint, path in suspects.items()
                },
            },
        )
        self.crashes.append(
            Crash(
                number=self._number,
                at_s=_now(),
                fingerprints=list(suspects),
                lifted_index=self._lifted_index,
            ),
        )
        self.on_crash()

    def _remember_answered(self, call: CallOpen) -> None:
        fingerprint = self.fingerprint(call)
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = None
        if len(self._answered) > MAX_ANSWERED:
            self._answered.pop(next(iter(self._answered)))


def _ignore() -> None:
    """Do nothing on a crash."""


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('check of the target failed', exc_info=task.exception())


def _now() -> float:
    return asyncio.get_running_loop().time()
