"""Timeout of streams on which no frames arrive."""

import asyncio
from typing import Final

from mustardspur_core.wire.streams import FrameStream

CHECKS_PER_TIMEOUT: Final = 6


async def raise_on_silence(stream: FrameStream, silence_s: float) -> None:
    """Raise TimeoutError when a stream has received no frame for a time.

    Explanation
    ===========

    The timeout is counted as a number of consecutive checks without new
    bytes. After a stall of several seconds a process makes a single late
    check and then reads the frames that arrived in the meantime, instead of
    closing all its streams.

    Parameters
    ----------
    stream : FrameStream
        The stream, which another task reads.
    silence_s : float
        Timeout in seconds.

    Raises
    ------
    TimeoutError
        At most `silence_s` after the last frame.
    """
    received = stream.received_bytes
    silent_checks = 0
    # The last frame can be one check interval old at the first silent check.
    while silent_checks < CHECKS_PER_TIMEOUT - 1:
        await asyncio.sleep(silence_s / CHECKS_PER_TIMEOUT)
        silent_checks = silent_checks + 1
        if stream.received_bytes != received:
            received = stream.received_bytes
            silent_checks = 0
    raise TimeoutError(f'nothing received for {silence_s} s')
