"""An event loop whose clock moves only when all tasks wait."""

import asyncio
import selectors
from typing import Any


class _InstantSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError('every task waits for nothing')
            self.now_s += max(timeout, 0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Skips the time that all tasks would sleep."""

    def __init__(self) -> None:
        """Start at zero."""
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._instant.now_s
