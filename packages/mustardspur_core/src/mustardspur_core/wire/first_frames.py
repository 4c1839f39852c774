"""First frames of the streams that a process accepts."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.descriptors import descriptor_limit, max_unidentified
from mustardspur_core.wire.codec import Frame
from mustardspur_core.wire.streams import FrameStream

# The longest one names all services that a node calls.
MAX_FIRST_FRAME_BYTES: Final = 65_536


class FirstFrames:
    """Receives the first frames, of a bounded number of streams at a time.

    Explanation
    ===========

    Any process can connect, and what it sends is held before it is known to be
    one of the mesh. Those send their first frame with the connect, so the
    stream that has waited longest is closed in favour of a new one.

    Attributes
    ----------
    most : int
        Streams that may wait for their first frames.
    """

    __slots__ = ('_waiting', 'most')

    def __init__(self) -> None:
        """Initialise without streams."""
        self.most = max_unidentified(descriptor_limit())
        self._waiting: OrderedDict[FrameStream, None] = OrderedDict()

    async def receive(self, stream: FrameStream, time_s: float) -> Frame:
        """Return the first frame of a stream.

        Raises
        ------
        TimeoutError
            If it does not arrive in time.
        asyncio.IncompleteReadError
            If the stream ends, also in favour of a new one.
        MalformedFrame
            If it is too long or invalid.
        """
        with self._listed(stream):
            async with asyncio.timeout(time_s):
                frame = await stream.receive(MAX_FIRST_FRAME_BYTES)
        stream.greeting_id = frame.request_id
        return frame

    @contextmanager
    def _listed(self, stream: FrameStream) -> Iterator[None]:
        """Count a stream in a block, in place of the longest if need be."""
        self._waiting[stream] = None
        if len(self._waiting) > self.most:
            longest, _ = self._waiting.popitem(last=False)
            longest.close()
        try:
            yield
        finally:
            self._waiting.pop(stream, None)
