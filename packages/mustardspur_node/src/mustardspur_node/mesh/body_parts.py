"""Bodies that are sent over a stream in parts."""

from collections import deque
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen, CallPart
from mustardspur_core.record import replaced
from mustardspur_core.wire import FrameStream

# Bodies are sent in parts of this size, so that a long body delays other calls
# on the stream by a few milliseconds only.
PART_BYTES: Final = 65_536


async def send_call(
    stream: FrameStream,
    call_id: int,
    call: CallOpen,
) -> None:
    """Send a call with its whole body."""
    first, *rest = split_body(call.body)
    first_frame = replaced(call, body=first, more=True) if rest else call
    await stream.send(first_frame, call_id)
    await send_parts(stream, call_id, rest)


async def send_parts(
    stream: FrameStream,
    call_id: int,
    parts: list[bytes],
) -> None:
    """Send the remaining parts of a body."""
    remaining = deque(parts)
    while remaining:
        part = remaining.popleft()
        await stream.send(CallPart(body=part, more=bool(remaining)), call_id)


def split_body(body: bytes) -> list[bytes]:
    """Split a body into one or more parts of at most `PART_BYTES`."""
    return [
        body[start : start + PART_BYTES]
        for start in range(0, max(len(body), 1), PART_BYTES)
    ]
