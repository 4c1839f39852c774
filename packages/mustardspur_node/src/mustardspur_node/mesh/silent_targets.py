"""Detection of a local target that falls silent instead of ending."""

import asyncio
import logging
import math
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.record import Record

from mustardspur_node.mesh.answer_parser import BrokenAnswer
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.crashes import BrokenCall, CrashObserver
from mustardspur_node.mesh.target_connection import TargetConnection
from mustardspur_node.mesh.target_pool import TargetPool

_Probes = list['asyncio.Task[None]']
_LOG: Final = logging.getLogger(__name__)

# Steps in which the silence is observed. A longer step does not count, since a
# node that does not run reads no answers.
STEP_S: Final = 0.1
MAX_STEP_S: Final = 0.3
# A check starts only after this time without a sign of life, so that single
# calls that time out at a busy target cause none.
MIN_QUIET_S: Final = 0.5
# Least time between the starts of two checks; each sends one or two requests.
MIN_CHECK_INTERVAL_S: Final = 1.0
# A target is not silent before this multiple of its longest recent run, since
# one that runs calls one after the other answers nothing during a run.
RUN_FACTOR: Final = 2.0
# Factor of the longest recent run with each further answer.
RUN_DECAY: Final = 0.99
MAX_UNANSWERED: Final = 256
# Part of the time after which the second probe is sent.
SECOND_PROBE: Final = 0.5
NEVER_S: Final = float('-inf')
_PROBE: Final = 'GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n'


class CallAtTarget(Record):
    """A call that was sent to the target and has no answer yet."""

    __slots__ = ('call', 'connection', 'sent_s')
    call: CallOpen
    connection: TargetConnection
    sent_s: float


class SilenceObserver:
    """Tells a target that fell silent from one that is slow or overloaded.

    Explanation
    ===========

    A check starts when a call ends without an answer and the target has shown
    no sign of life for `MIN_QUIET_S`. Probes then query the health of the
    target on new connections. A target that is slow or overloaded shows
    a sign of life within the time: a byte of any answer, or an end or refusal
    of a connection. Without any of these the target counts as crashed by the
    calls that were at it when the check started.

    Parameters
    ----------
    crashes : CrashObserver
        Receives the crashes.

    Attributes
    ----------
    after_s : float
        Time without a sign of life after which a target is silent, 0 for no
        detection.
    health_path : callable
        Returns the path of the target's health check, None if it is unknown
        or the target is leaving.
    """

    __slots__ = (
        '_alive_s',
        '_check',
        '_checked_s',
        '_crashes',
        '_longest_run_s',
        '_open',
        '_pool',
        '_probed',
        '_unanswered',
        'after_s',
        'health_path',
    )

    def __init__(self, crashes: CrashObserver) -> None:
        """Initialise without detection."""
        self._crashes = crashes
        self._check: asyncio.Task[None] | None = None
        self._checked_s = NEVER_S
        # Time of the latest sign of life by calls that have ended.
        self._alive_s = NEVER_S
        self._longest_run_s: float = 0
        self._pool: TargetPool | None = None
        self._open: dict[int, CallAtTarget] = {}
        # Connections of the probes of the latest check.
        self._probed: list[TargetConnection] = []
        # Calls that ended without an answer, with the time of their sending.
        self._unanswered: deque[tuple[float, BrokenCall]] = deque(
            maxlen=MAX_UNANSWERED,
        )
        self.after_s: float = 0
        self.health_path: Callable[[], str | None] = _unknown_path

    @contextmanager
    def observed(
        self,
        call: CallOpen,
        connection: TargetConnection,
        pool: TargetPool,
    ) -> Iterator[None]:
        """Observe a call that is at the target in the context."""
        if not self.after_s:
            yield
            return
        if pool is not self._pool:
            self._reset(pool)
        sent = CallAtTarget(call=call, connection=connection, sent_s=_now())
        self._open[id(sent)] = sent
        try:
            yield
        except (TimeoutError, asyncio.CancelledError):
            self._record_unanswered(sent, pool)
            raise
        except BrokenAnswer:
            self._alive_s = _now()
            raise
        else:
            self._record_answered(sent)
        finally:
            self._open.pop(id(sent))

    def _record_answered(self, sent: CallAtTarget) -> None:
        self._alive_s = _now()
        self._crashes.is_silent = False
        self._longest_run_s = max(
            self._longest_run_s * RUN_DECAY,
            self._alive_s - sent.sent_s,
        )

    def _reset(self, pool: TargetPool) -> None:
        """Start anew with another target."""
        self._pool = pool
        self._alive_s = NEVER_S
        self._crashes.is_silent = False
        self._unanswered.clear()

    def _record_unanswered(self, sent: CallAtTarget, pool: TargetPool) -> None:
        self._alive_s = max(self._alive_s, sent.connection.heard_s)
        self._unanswered.append((sent.sent_s, self._broken(sent)))
        path = self.health_path()
        if path is not None and self._is_check_due():
            self._checked_s = _now()
            self._check = asyncio.create_task(
                self._check_target(sent.call.target, pool, path),
            )
            self._check.add_done_callback(_log_failure)

    def _is_check_due(self) -> bool:
        """Return whether a target that was alive may have fallen silent."""
        is_checking = self._check is not None and not self._check.done()
        if is_checking or self._crashes.is_silent:
            return False
        quiet_s = _now() - self._sign_of_life_s()
        return (
            MIN_QUIET_S <= quiet_s < -NEVER_S
            and _now() >= self._checked_s + MIN_CHECK_INTERVAL_S
        )

    def _broken(self, sent: CallAtTarget) -> BrokenCall:
        return BrokenCall(
            at_s=_now(),
            fingerprint=self._crashes.fingerprint(sent.call),
            path=sent.call.path,
        )

    def _sign_of_life_s(self) -> float:
        """Return the time of the latest sign of life of the target."""
        connections = [each.connection for each in self._open.values()]
        heard_s = [each.heard_s for each in (*connections, *self._probed)]
        # The pool has those of health checks, the only ones of a target that
        # has answered no call yet.
        pool_s = self._pool.heard_s if self._pool else NEVER_S
        return max([self._alive_s, pool_s, *heard_s])

    async def _check_target(
        self,
        target_id: str,
        pool: TargetPool,
        path: str,
    ) -> None:
        started_s = _now()
        after_s = max(self.after_s, self._longest_run_s * RUN_FACTOR)
        self._probed.clear()
        async with self._probing(pool, path, after_s) as probes:
            steps = math.ceil(after_s / STEP_S)
            while steps:
                steps -= await _step()
                has_reacted = any(probe.done() for probe in probes)
                if has_reacted or self._sign_of_life_s() >= started_s:
                    return
        if not pool.closed and self.health_path() is not None:
            self._record_silence(target_id, started_s)

    def _record_silence(self, target_id: str, started_s: float) -> None:
        """Record a crash by the calls that were at the target at the start.

        The target went on after calls that ended without an answer before its
        latest sign of life, so they are not among them.
        """
        alive_s = self._sign_of_life_s()
        at_target = [
            (each.sent_s, self._broken(each)) for each in self._open.values()
        ]
        at_target += [
            (sent_s, broken)
            for sent_s, broken in self._unanswered
            if broken.at_s >= alive_s
        ]
        self._unanswered.clear()
        self._crashes.record_silence(
            target_id,
            [broken for sent_s, broken in at_target if sent_s <= started_s],
        )

    @asynccontextmanager
    async def _probing(
        self,
        pool: TargetPool,
        path: str,
        after_s: float,
    ) -> AsyncIterator[_Probes]:
        """Run two probes in the context; each ends once the target reacts."""
        head = _PROBE.format(path=path, address=pool.address).encode()
        probes = [
            asyncio.create_task(self._probe(pool, head, delay_s))
            for delay_s in (0, after_s * SECOND_PROBE)
        ]
        try:
            yield probes
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(
        self, pool: TargetPool, head: bytes, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        while await self._is_connect_lost(pool, head):
            _LOG.debug('connect to the target timed out')

    async def _is_connect_lost(self, pool: TargetPool, head: bytes) -> bool:
        """Query the health of the target, and return once it has reacted.

        Returns
        -------
        bool
            Whether a connect timed out, which is no reaction.
        """
        try:
            async with pool.acquire_new() as connection:
                self._probed.append(connection)
                await connection.check(head)
        except PlacementFault as fault:
            return isinstance(fault.__cause__, TimeoutError)
        except BrokenAnswer as error:
            _LOG.debug('probe was not answered', extra={'reason': str(error)})
        return False


async def _step() -> bool:
    """Wait for a step, and return whether the node ran during it."""
    started_s = _now()
    await asyncio.sleep(STEP_S)
    return _now() - started_s <= MAX_STEP_S


def _unknown_path() -> None:
    """Return no path of a health check."""


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('check for silence failed', exc_info=task.exception())


def _now() -> float:
    return asyncio.get_running_loop().time()
