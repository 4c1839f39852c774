"""Tests of the first frames of streams."""

import asyncio
from typing import Final

import pytest
from mustardspur_core.messages import Heartbeat
from mustardspur_core.wire import MAX_FRAME_BYTES, FirstFrames, MalformedFrame

from tests.core.wire.test_streams import connected_pair

_TIME_S: Final = 5


async def test_long_first_frames_are_not_held() -> None:
    """Guards against a process that is killed for frames of megabytes that
    strangers begin and never end.
    """
    local, stranger = await connected_pair()
    stranger.enqueue_encoded(bytes(MAX_FRAME_BYTES))
    with pytest.raises(MalformedFrame, match='length'):
        await FirstFrames().receive(local, _TIME_S)
    local.close()
    stranger.close()


async def test_silent_streams_give_way() -> None:
    """Guards against strangers that keep all nodes out of a process."""
    first_frames = FirstFrames()
    first_frames.most = 1
    silent, stranger = await connected_pair()
    waiting = asyncio.create_task(first_frames.receive(silent, _TIME_S))
    await asyncio.sleep(0)
    local, node = await connected_pair()
    node.enqueue(Heartbeat(sequence=1))
    frame = await first_frames.receive(local, _TIME_S)
    assert isinstance(frame.body, Heartbeat)
    with pytest.raises(asyncio.IncompleteReadError):
        await waiting
    for each in (stranger, local, node):
        each.close()
