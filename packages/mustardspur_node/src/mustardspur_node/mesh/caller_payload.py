"""What is received of a body, and not read."""

from collections.abc import Callable
from typing import Final

from aiohttp.streams import StreamReader

# A client that sends less in a read makes no progress.
PROGRESS_BYTES: Final = 1024
# Longest part of a body that is received and not read: reading pauses at twice
# the buffer of the parser, and one more read may complete.
MAX_UNREAD_BYTES: Final = 49_152


class CallerPayload:
    """The received parts of a body, until its call reads them.

    Parameters
    ----------
    reader : StreamReader
        Receives the body from the parser.
    stated_bytes : int or None
        Length that the caller states.

    Attributes
    ----------
    is_taken : bool
        Whether no further part is read.
    on_awaited : callable or None
        Called after a part is read while the caller has to send a further one.
    on_taken : callable or None
        Called once no further part is read.
    """

    __slots__ = (
        '_read_bytes',
        '_stated_bytes',
        'is_taken',
        'on_awaited',
        'on_taken',
        'reader',
    )

    def __init__(
        self,
        reader: StreamReader,
        stated_bytes: int | None,
        *,
        is_empty: bool,
    ) -> None:
        """Initialise a body of which nothing is read."""
        self.reader = reader
        self._stated_bytes = stated_bytes
        self._read_bytes = 0
        self.is_taken = is_empty
        self.on_awaited: Callable[[], None] | None = None
        self.on_taken: Callable[[], None] | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether the caller has to send a part that its call waits for."""
        if self.is_taken or self.reader.is_eof():
            return False
        return self.unread_bytes < PROGRESS_BYTES

    @property
    def unread_bytes(self) -> int:
        """Bytes that were received and are not read."""
        return self.reader.total_bytes - self._read_bytes

    @property
    def expected_bytes(self) -> int:
        """Most bytes that may be received and not read from now on."""
        if self.is_taken or self.reader.is_eof():
            return self.unread_bytes
        if self._stated_bytes is None:
            return MAX_UNREAD_BYTES
        return min(self._stated_bytes - self._read_bytes, MAX_UNREAD_BYTES)

    async def read(self) -> bytes:
        """Return the next part."""
        part = await self.reader.readany()
        self._read_bytes += len(part)
        if self.on_awaited is not None and self.is_awaited:
            self.on_awaited()
        return part

    def end(self) -> None:
        """Read no further part, and hold nothing of a complete body."""
        if self.is_taken:
            return
        self.is_taken = True
        is_complete = self.reader.is_eof() and not self.reader.exception()
        if is_complete and self.unread_bytes:
            self._read_bytes += len(self.reader.read_nowait())
        if self.on_taken is not None:
            self.on_taken()

    def drop(self) -> None:
        """Hold nothing of a body of which nothing is read any more."""
        self.is_taken = True
        if self.unread_bytes and not self.reader.exception():
            self._read_bytes += len(self.reader.read_nowait())
