"""Notice of a stream on which nothing arrives."""

import asyncio
from typing import Final

from mustardspur_core.wire.streams import FrameStream

CHECKS: Final = 6


async def raise_on_silence(stream: FrameStream, silence_s: float) -> None:
    """Raise once no frame was received for a time.

    Explanation
    ===========

    The time is counted in checks of which each finds nothing new. A process
    that got no processor for seconds makes one check late, and then reads
    what has arrived meanwhile, instead of ending every stream that it has.

    Parameters
    ----------
    stream : FrameStream
        The stream, which another task reads.
    silence_s : float
        Longest silence in seconds.

    Raises
    ------
    TimeoutError
        After a silence, at most `silence_s` after the last frame.
    """
    received = stream.received_bytes
    silent_checks = 0
    # The frame before the first silent check is up to one check old.
    while silent_checks < CHECKS - 1:
        await asyncio.sleep(silence_s / CHECKS)
        silent_checks = silent_checks + 1
        if stream.received_bytes != received:
            received = stream.received_bytes
            silent_checks = 0
    raise TimeoutError(f'nothing received for {silence_s} s')
