"""Connections to the target beside the node."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import RawResponseMessage

from mustardspur_node.mesh.answer_parser import (
    AnswerParser,
    BrokenAnswer,
    RawAnswer,
    check_delimiters,
    read_whole,
)

# A connection without a stated idle time-out is closed after this time,
# before most targets close it themselves.
DEFAULT_IDLE_S: Final = 2.5
# A stated time-out is in whole seconds and counts from the target's side.
IDLE_MARGIN_S: Final = 0.6
# Answers to earlier requests that may come before the one that is due.
MAX_STRAY_ANSWERS: Final = 4


class TargetConnection(BaseProtocol):
    """One connection to the target; carries one request at a time."""

    __slots__ = ('_answers', '_idle_s', '_waiting', 'idle_since_s', 'reusable')

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self._answers = AnswerParser(self)
        self._waiting = False
        self._idle_s = DEFAULT_IDLE_S
        self.idle_since_s: float = 0
        self.reusable = True

    @property
    def is_fresh(self) -> bool:
        """Whether the connection can carry another request."""
        idle_s = self._loop.time() - self.idle_since_s
        transport = self.transport
        return (
            self.reusable
            and transport is not None
            and not transport.is_closing()
            and idle_s < self._idle_s
        )

    def data_received(self, received: bytes) -> None:
        """Parse what the target sent; bytes without a request break it."""
        if self._waiting:
            self._answers.feed(received)
        elif received:
            self.abort()

    def eof_received(self) -> None:
        """Note that the target closes; an answer may end with that.

        The loop reports a reset as an orderly end where both arrive before
        it reads; the socket still tells them apart.
        """
        self.reusable = False
        error = self._socket_error()
        if error:
            self._answers.fail(ConnectionResetError(error, 'reset'))
        else:
            self._answers.feed_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail what waits for an answer."""
        self.reusable = False
        self._answers.fail(exc or BrokenAnswer('connection closed'))
        super().connection_lost(exc)

    def abort(self) -> None:
        """Drop the connection, which makes the target drop its request."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self,
        method: str,
        head: bytes,
        body: bytes,
        is_own: Callable[[RawResponseMessage], bool],
    ) -> RawAnswer:
        """Send a request and return its whole answer.

        Parameters
        ----------
        is_own : callable
            Whether an answer belongs to the request. Another one, which is
            late or an extra, is read and dropped.

        Raises
        ------
        BrokenAnswer
            If there is no complete answer; the call may have run.
        """
        transport = self.transport
        if transport is None:
            raise BrokenAnswer('connection closed')
        self._answers.begin(method)
        self._parser = self._answers.parser
        self._waiting = True
        transport.write(head + body if body else head)
        try:
            answer = await self._own_answer(is_own)
        except BaseException:
            self.abort()
            raise
        self._end(transport)
        return answer

    def _socket_error(self) -> int:
        transport = self.transport
        if transport is None:
            return 0
        opened = transport.get_extra_info('socket')
        error: int = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error

    def _end(self, transport: asyncio.Transport) -> None:
        self._waiting = False
        if self._answers.has_more or transport.get_write_buffer_size():
            self.reusable = False
        self.idle_since_s = self._loop.time()
        if not self.reusable:
            transport.close()

    async def _own_answer(
        self,
        is_own: Callable[[RawResponseMessage], bool],
    ) -> RawAnswer:
        strays: deque[int] = deque(maxlen=MAX_STRAY_ANSWERS)
        while len(strays) < MAX_STRAY_ANSWERS:
            message, payload = await self._answers.next_message()
            body = await read_whole(payload)
            self._note_closing(message)
            if message.code >= HTTPStatus.OK:
                if is_own(message):
                    check_delimiters(message)
                    return RawAnswer(message, body)
                self.reusable = False
            strays.append(message.code)
            self._answers.forget_first(payload)
        raise BrokenAnswer('answers belong to other requests')

    def _note_closing(self, message: RawResponseMessage) -> None:
        if message.should_close:
            self.reusable = False
        stated = message.headers.get('keep-alive', '')
        for part in stated.split(','):
            name, _, digits = part.strip().partition('=')
            if name.lower() == 'timeout' and digits.isdigit():
                self._idle_s = max(int(digits) - IDLE_MARGIN_S, 0)
