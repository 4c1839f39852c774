"""Server side of the streams to a control instance."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, Final

from mustardspur_core.listening import listening_socket
from mustardspur_core.messages import ProtocolFault
from mustardspur_core.metrics import Metrics
from mustardspur_core.record import Record
from mustardspur_core.settings import Settings
from mustardspur_core.timeline import Timeline
from mustardspur_core.wire import FirstFrames, FrameStream, MalformedFrame

_LOG: Final = logging.getLogger(__name__)
ServeStream = Callable[[FrameStream, Any], Awaitable[None]]


class ControlStreams:
    """Dispatches a stream by the type of its first frame.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    timeline : Timeline
        Records malformed frames.
    metrics : Metrics
        Counts malformed frames.
    """

    __slots__ = (
        '_first_frames',
        '_metrics',
        '_serve_by_type',
        '_silence_s',
        '_timeline',
    )

    def __init__(
        self,
        settings: Settings,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        """Initialise without handlers."""
        self._first_frames = FirstFrames()
        self._silence_s = settings.intervals.silence_s
        self._timeline = timeline
        self._metrics = metrics
        self._serve_by_type: dict[type[Record], ServeStream] = {}

    def add(self, first_type: type[Record], serve: ServeStream) -> None:
        """Register the handler of streams that start with a message type.

        Parameters
        ----------
        first_type : type
            Class of the first message.
        serve : callable
            Called with the stream and its first message; returns when the
            stream has ended.
        """
        self._serve_by_type[first_type] = serve

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection until its end, for `asyncio.start_server`."""
        stream = FrameStream(reader, writer)
        try:
            await self._dispatch(stream)
        except MalformedFrame as fault:
            await self._answer_fault(stream, fault)
        except (OSError, EOFError, TimeoutError) as error:
            _LOG.info(
                'stream ended',
                extra={'peer': stream.peer_address, 'reason': repr(error)},
            )
        except Exception:
            # The error ends this connection only; the process goes on.
            _LOG.exception('stream failed', extra={'peer': stream.peer_address})
        finally:
            stream.close()

    async def _dispatch(self, stream: FrameStream) -> None:
        frame = await self._first_frames.receive(stream, self._silence_s)
        serve = self._serve_by_type.get(type(frame.body))
        if serve is None:
            kind = type(frame.body).__name__
            raise MalformedFrame('type', f'{kind} as the first frame')
        await serve(stream, frame.body)

    async def _answer_fault(
        self,
        stream: FrameStream,
        fault: MalformedFrame,
    ) -> None:
        self._metrics.incr(f'malformed.{fault.kind}')
        self._timeline.record('malformed_frame', kind=fault.kind)
        _LOG.warning(
            'malformed frame',
            extra={'peer': stream.peer_address, 'reason': str(fault)},
        )
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._silence_s):
                await stream.send(
                    ProtocolFault(kind=fault.kind, detail=str(fault)),
                )


@asynccontextmanager
async def serving_streams(
    settings: Settings,
    streams: ControlStreams,
) -> AsyncIterator[None]:
    """Serve nodes and peers on the stream address."""
    listening = listening_socket(settings.listen.stream or '')
    server = await asyncio.start_server(streams.serve, sock=listening)
    try:
        yield
    finally:
        server.close()
