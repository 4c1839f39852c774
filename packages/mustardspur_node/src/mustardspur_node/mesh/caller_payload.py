"""What is received of a body, and not read."""

from collections.abc import Callable

from aiohttp.streams import StreamReader


class CallerPayload:
    """The received parts of a body, until its call reads them.

    Parameters
    ----------
    reader : StreamReader
        Receives the body from the parser.

    Attributes
    ----------
    is_taken : bool
        Whether no further part is read.
    on_taken : callable or None
        Called once no further part is read.
    """

    __slots__ = ('_read_bytes', 'is_taken', 'on_taken', 'reader')

    def __init__(self, reader: StreamReader, *, is_empty: bool) -> None:
        """Initialise a body of which nothing is read."""
        self.reader = reader
        self._read_bytes = 0
        self.is_taken = is_empty
        self.on_taken: Callable[[], None] | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether the caller has to send a part that its call waits for."""
        if self.is_taken or self.reader.is_eof():
            return False
        return not self.unread_bytes

    @property
    def unread_bytes(self) -> int:
        """Bytes that were received and are not read."""
        return self.reader.total_bytes - self._read_bytes

    async def read(self) -> bytes:
        """Return the next part."""
        part = await self.reader.readany()
        self._read_bytes += len(part)
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
