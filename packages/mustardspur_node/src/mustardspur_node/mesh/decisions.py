"""Rate-limited log lines about calls."""

import asyncio
import logging
from typing import Any, Final

_LOG: Final = logging.getLogger('mustardspur.calls')

# Lines of each event per second; under overload there is one for each refused
# call.
MAX_LINES_PER_S: Final = 10
# One in this many successful calls is logged.
SAMPLE_INTERVAL: Final = 200


class DecisionLog:
    """Writes a line for each decision on a call, rate-limited by event.

    Parameters
    ----------
    logger : logging.Logger
        Receives the lines.
    """

    __slots__ = ('_count', '_logger', '_omitted', '_second', '_written')

    def __init__(self, logger: logging.Logger = _LOG) -> None:
        """Initialise with no lines written."""
        self._logger = logger
        self._second = 0
        self._written: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self._count = 0

    def write(self, event: str, **details: Any) -> None:
        """Write a line, or count it as omitted if the limit is reached."""
        self._update_second()
        written = self._written.get(event, 0)
        if written >= MAX_LINES_PER_S:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._written[event] = written + 1
        self._logger.info(event, extra=details)

    def sample_next(self) -> bool:
        """Return whether to log a successful call; one in `SAMPLE_INTERVAL`."""
        self._count += 1
        return self._count % SAMPLE_INTERVAL == 1

    def _update_second(self) -> None:
        """Reset the counts at the start of each second."""
        second = int(asyncio.get_running_loop().time())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        if self._omitted:
            self._logger.info(
                'lines left out', extra={'by_event': self._omitted}
            )
            self._omitted = {}
