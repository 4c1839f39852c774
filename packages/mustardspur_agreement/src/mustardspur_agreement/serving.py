"""Dispatch of the requests of a peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from mustardspur_core.record import Record
from mustardspur_core.wire import Frame, MalformedFrame

from mustardspur_agreement.barriers import Barriers
from mustardspur_agreement.election import Elections
from mustardspur_agreement.feeding import Feed
from mustardspur_agreement.links import CONNECTION_ERRORS
from mustardspur_agreement.messages import (
    AppendRequest,
    BarrierRequest,
    Follow,
    PeerGreeting,
    SnapshotChunk,
    TakeOver,
    UnanimousVoteRequest,
    VoteRequest,
)
from mustardspur_agreement.ports import Channel
from mustardspur_agreement.receiving import Receiver
from mustardspur_agreement.replica import Replica
from mustardspur_agreement.voting import answer_unanimous_vote, answer_vote

AnswerFunction = Callable[[Any], Awaitable[Record]]
_IDLE_TIMEOUT_SILENCES: Final = 2


class RequestHandler:
    """Dispatches each request type to its handler.

    Parameters
    ----------
    replica : Replica
        State of the local replica.
    elections : Elections
        Elections of this instance.
    barriers : Barriers
        Read barriers.
    """

    __slots__ = ('_barriers', '_elections', '_functions_by_type', '_replica')

    def __init__(
        self,
        replica: Replica,
        elections: Elections,
        barriers: Barriers,
    ) -> None:
        """Initialise the handlers by request type."""
        self._replica = replica
        self._elections = elections
        self._barriers = barriers
        receiver = Receiver(replica)
        self._functions_by_type: dict[type[Record], AnswerFunction] = {
            VoteRequest: self._answer_vote,
            UnanimousVoteRequest: self._answer_unanimous_vote,
            AppendRequest: receiver.answer_append,
            SnapshotChunk: receiver.answer_chunk,
            BarrierRequest: self._answer_barrier,
            TakeOver: self._answer_take_over,
        }

    async def serve(self, channel: Channel, greeting: PeerGreeting) -> None:
        """Answer requests until the connection ends."""
        try:
            async with asyncio.TaskGroup() as group:
                await self._serve(channel, greeting, group)
        except* CONNECTION_ERRORS:
            self._replica.context.metrics.incr('agreement.connection_ended')
        finally:
            channel.close()

    async def _serve(
        self,
        channel: Channel,
        greeting: PeerGreeting,
        group: asyncio.TaskGroup,
    ) -> None:
        settings = self._replica.context.settings
        while True:
            async with asyncio.timeout(
                settings.intervals.silence_s * _IDLE_TIMEOUT_SILENCES,
            ):
                frame = await channel.receive()
            if isinstance(frame.body, Follow):
                await Feed(self._replica, channel, greeting).run(frame.body)
            elif isinstance(frame.body, BarrierRequest):
                # A barrier waits for peers and must not delay later requests.
                group.create_task(self._answer(channel, frame))
            else:
                await self._answer(channel, frame)

    async def _answer(self, channel: Channel, frame: Frame) -> None:
        answer = self._functions_by_type.get(type(frame.body))
        if answer is None:
            raise MalformedFrame('type', f'{type(frame.body)} is not a request')
        # A disk write must complete even if the connection's task is cancelled.
        body = await asyncio.shield(asyncio.ensure_future(answer(frame.body)))
        await channel.send(body, frame.request_id)

    async def _answer_vote(self, request: VoteRequest) -> Record:
        return await answer_vote(self._replica, request)

    async def _answer_unanimous_vote(
        self, request: UnanimousVoteRequest
    ) -> Record:
        return await answer_unanimous_vote(self._replica, request)

    async def _answer_barrier(self, request: BarrierRequest) -> Record:
        return await self._barriers.obtain(request.hops)

    async def _answer_take_over(self, request: TakeOver) -> Record:
        return self._elections.answer_take_over(request)
