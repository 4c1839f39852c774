"""Credit for the body of a call."""

import asyncio


class BodyCreditBalance:
    """Bytes of a body that the other node has requested and are not sent."""

    __slots__ = ('_bytes', '_changed')

    def __init__(self) -> None:
        """Initialise without credit."""
        self._bytes = 0
        self._changed = asyncio.Event()

    def add(self, size: int) -> None:
        """Add credit for a number of bytes.

        A damaged credit of no bytes has no effect: it would cause empty
        parts, for which the other node ends the stream with all calls on it.
        """
        if size <= 0:
            return
        self._bytes += size
        self._changed.set()

    def take(self, most: int) -> int:
        """Return the credit for the next part, and subtract it."""
        size = min(self._bytes, most)
        self._bytes -= size
        if not self._bytes:
            self._changed.clear()
        return size

    def end_wait(self) -> None:
        """Let a waiting sender continue, since the call has ended."""
        self._changed.set()

    async def wait(self, timeout_s: float) -> bool:
        """Return whether there is credit, or the call ended, in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
