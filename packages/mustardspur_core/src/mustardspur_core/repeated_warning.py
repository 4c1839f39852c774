"""Log lines of an event that clients can cause at any rate."""

import asyncio
import logging
from typing import Final

# Between two lines of an event.
LOG_INTERVAL_S: Final = 10.0


class RepeatedWarning:
    """Logs an event at most once in an interval, with its count.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the module.
    event : str
        Message of the lines.
    """

    __slots__ = ('_event', '_logged_s', '_logger', '_unlogged')

    def __init__(self, logger: logging.Logger, event: str) -> None:
        """Initialise without events."""
        self._logger = logger
        self._event = event
        self._logged_s = float('-inf')
        # Events since the latest line.
        self._unlogged = 0

    def log(self, **fields: object) -> None:
        """Log the event with its fields and its ``count``, or count it."""
        self._unlogged += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        extra = {**fields, 'count': self._unlogged}
        self._logger.warning(self._event, extra=extra)
        self._logged_s = now_s
        self._unlogged = 0
