"""Log lines about calls, bounded in number."""

import asyncio
import logging
from typing import Any, Final

_LOG: Final = logging.getLogger('mustardspur.calls')

# Lines of one kind a second; under overload each refused call would be one.
LINES_PER_S: Final = 10
# Of the calls that went well, one in this many is logged.
SAMPLE: Final = 200


class DecisionLog:
    """One line for each decision on a call, within a rate for each event."""

    __slots__ = ('_count', '_left_out', '_second', '_written')

    def __init__(self) -> None:
        """Start without lines."""
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self._count = 0

    def note(self, event: str, **details: Any) -> None:
        """Write a line, or count it if there were too many this second."""
        self._turn_second()
        written = self._written.get(event, 0)
        if written >= LINES_PER_S:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._written[event] = written + 1
        _LOG.info(event, extra=details)

    def takes_sample(self) -> bool:
        """Whether a call that went well is the one in `SAMPLE` to log."""
        self._count += 1
        return self._count % SAMPLE == 1

    def _turn_second(self) -> None:
        second = int(asyncio.get_running_loop().time())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        if self._left_out:
            _LOG.info('lines left out', extra={'by_event': self._left_out})
            self._left_out = {}
