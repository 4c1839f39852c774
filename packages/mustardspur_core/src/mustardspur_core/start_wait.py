"""Bounded waiting for what a process needs to start."""

import errno
import logging
import time
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

from mustardspur_core.event_loop import ended_by_stop_signals
from mustardspur_core.settings.model import Settings

_LOG: Final = logging.getLogger(__name__)
_NeedT = TypeVar('_NeedT')

# Beyond the time in which the process before this one may drain: its exit takes
# over a second on a busy instance, and a kill or a mount a few seconds.
MARGIN_S: Final = 10.0
# An attempt is one or two system calls.
POLL_S: Final = 0.05
# The machine is short of memory or of files for all processes; those of one
# process are not freed while it waits.
_MACHINE_IS_SHORT: Final = frozenset(
    (errno.ENFILE, errno.ENOMEM, errno.ENOBUFS),
)


class StartWait:
    """Waits, up to a common bound, for each thing that a start needs.

    Explanation
    ===========

    It blocks the process, which serves nothing yet and runs no event loop.
    The bound counts on the monotonic clock, so that steps of the time of day
    have no effect.

    Parameters
    ----------
    wait_s : float
        Longest wait for all needs together.
    clock, sleep : callable, optional
        Monotonic clock in seconds, and the pause between two attempts.
    """

    __slots__ = ('_clock', '_latest_s', '_sleep')

    def __init__(
        self,
        wait_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Initialise the wait of a process that starts now."""
        self._clock = clock
        self._sleep = sleep
        self._latest_s = clock() + wait_s

    def obtain(
        self,
        need: str,
        attempt: Callable[[], _NeedT],
        is_temporary: Callable[[OSError], bool],
        describe: Callable[[], Mapping[str, Any]] = dict,
    ) -> _NeedT:
        """Return what an attempt returns, after repeated attempts if needed.

        Parameters
        ----------
        need : str
            What is needed, for the log.
        attempt : callable
            Obtains it at once or raises `OSError`.
        is_temporary : callable
            Whether an error may go away without a change of the settings. One
            that tells of a shortage of the whole machine always may.
        describe : callable, optional
            Returns further fields of the line that tells of the wait.

        Raises
        ------
        OSError
            The error of the last attempt, if it is not temporary or the bound
            has passed.
        StoppedWhileWaiting
            On a stop signal.
        """
        try:
            return attempt()
        except OSError as error:
            if not _may_pass(error, is_temporary):
                raise
            self._log_wait(need, error, describe())
        started_s = self._clock()
        with ended_by_stop_signals(need):
            obtained = self._repeat(attempt, is_temporary)
        _LOG.info(
            'start continues',
            extra={
                'needs': need,
                'waited_s': round(self._clock() - started_s, 2),
            },
        )
        return obtained

    def _log_wait(
        self,
        need: str,
        error: OSError,
        details: Mapping[str, Any],
    ) -> None:
        left_s = max(0, self._latest_s - self._clock())
        _LOG.warning(
            'start waits',
            extra={
                'needs': need,
                'reason': str(error),
                'wait_s': round(left_s, 1),
                **details,
            },
        )

    def _repeat(
        self,
        attempt: Callable[[], _NeedT],
        is_temporary: Callable[[OSError], bool],
    ) -> _NeedT:
        while True:
            self._sleep(POLL_S)
            try:
                return attempt()
            except OSError as error:
                is_over = self._clock() >= self._latest_s
                if is_over or not _may_pass(error, is_temporary):
                    raise


def start_wait_s(settings: Settings) -> float:
    """Return how long a start waits for what it needs.

    The process before this one may use its addresses while it drains.
    """
    if settings.mesh is not None:
        return settings.mesh.grace_s + MARGIN_S
    if settings.role == 'node':
        return settings.intervals.drain_s + MARGIN_S
    return MARGIN_S


def _may_pass(error: OSError, is_temporary: Callable[[OSError], bool]) -> bool:
    return error.errno in _MACHINE_IS_SHORT or is_temporary(error)
