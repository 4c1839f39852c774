"""Buffer that joins the parts of a body without a second copy."""

from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from typing import Final

# Longest size that is reserved as stated; a damaged frame may state any.
MAX_STATED_BYTES: Final = 67_108_864


class BodyBuffer:
    """Parts of a body, joined as they arrive.

    A list of parts that is joined at the end holds a large body twice, and so
    does a buffer that has to be moved when it grows.

    Parameters
    ----------
    stated_bytes : int
        Size of the body if it is known, else 0.
    """

    __slots__ = ('_buffer', '_stated_bytes', 'size')

    def __init__(self, stated_bytes: int = 0) -> None:
        """Initialise without parts."""
        self._buffer = BytesIO()
        self._stated_bytes = stated_bytes
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part; the first one reserves the stated size."""
        if not self.size and 0 < self._stated_bytes <= MAX_STATED_BYTES:
            self._buffer.seek(self._stated_bytes - 1)
            self._buffer.write(b'\0')
            self._buffer.seek(0)
        self.size += self._buffer.write(part)

    @contextmanager
    def emptied(self) -> Iterator[None]:
        """Hold no part after a block.

        The traceback of a failure refers to the buffer, and may live until a
        garbage collection.
        """
        try:
            yield
        finally:
            self._buffer = BytesIO()

    def take(self) -> bytes:
        """Return the body, and hold it no longer."""
        self._buffer.truncate(self.size)
        body = self._buffer.getvalue()
        self._buffer = BytesIO()
        return body
