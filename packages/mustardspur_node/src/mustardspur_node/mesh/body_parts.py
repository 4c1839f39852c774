"""Bodies that are sent over a stream in parts."""

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
    """Send a call with its whole body.

    The parts are cut one at a time, since a large body would be held twice.
    """
    body = call.body
    size = len(body)
    if size <= PART_BYTES:
        await stream.send(call, call_id)
        return
    opened = replaced(call, body=body[:PART_BYTES], more=True)
    await stream.send(opened, call_id)
    sent = PART_BYTES
    while sent < size:
        part = body[sent : sent + PART_BYTES]
        sent += len(part)
        await stream.send(CallPart(body=part, more=sent < size), call_id)
