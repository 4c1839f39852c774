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
    *,
    more: bool = False,
) -> None:
    """Send further parts of a body; ``more`` if others follow them."""
    remaining = deque(parts)
    while remaining:
        part = remaining.popleft()
        has_more = more or bool(remaining)
        await stream.send(CallPart(body=part, more=has_more), call_id)


def split_body(body: bytes, part_bytes: int = PART_BYTES) -> list[bytes]:
    """Split a body into one or more parts of at most a number of bytes."""
    return [
        body[start : start + part_bytes]
        for start in range(0, max(len(body), 1), part_bytes)
    ]
