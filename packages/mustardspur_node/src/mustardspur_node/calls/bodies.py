"""Bodies of requests: small ones held for another attempt, others streamed."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

from aiohttp import web

from mustardspur_node.calls import names
from mustardspur_node.calls.answers import CallFault, not_run, unknown

HELD_BODY_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 67_108_864
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyFault(Exception):
    """The caller did not send a complete body within the limits."""


class RequestBody:
    """Body of a call.

    Parameters
    ----------
    held : bytes or None
        The whole body, None for one that is streamed.
    stream : async iterator of bytes or None
        A body that can be sent only once.
    """

    __slots__ = ('_stream', 'held', 'size', 'started')

    def __init__(
        self,
        held: bytes | None,
        stream: AsyncIterator[bytes] | None = None,
    ) -> None:
        """Keep one of the two."""
        self.held = held
        self._stream = stream
        self.started = False
        self.size = len(held) if held else 0

    @property
    def streamed(self) -> bool:
        """Whether the body is longer than the node holds."""
        return self._stream is not None

    @property
    def repeatable(self) -> bool:
        """Whether the body can be sent from its start."""
        return self._stream is None or not self.started

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what the client library sends."""
        return self.held if self._stream is None else self._parts()

    async def _parts(self) -> AsyncIterator[bytes]:
        assert self._stream is not None
        self.started = True
        async for part in self._stream:
            self.size += len(part)
            yield part


NO_BODY: Final = RequestBody(None)


async def read_body(request: web.BaseRequest) -> RequestBody:
    """Read a small body whole; prepare a larger one for streaming.

    Raises
    ------
    CallFault
        If the body is too long, broken or incomplete; the call was not run.
    """
    await _answer_expectation(request)
    if not request.body_exists:
        return NO_BODY
    length = request.content_length
    if length is not None and length > MAX_BODY_BYTES:
        raise _too_long()
    try:
        held = await _read_up_to(request, HELD_BODY_BYTES + 1)
    except web.RequestPayloadError as error:
        raise not_run(
            HTTPStatus.BAD_REQUEST,
            'request body is malformed',
        ) from error
    if request.content.at_eof():
        return RequestBody(held)
    return RequestBody(None, _stream(request, held))


async def _read_up_to(request: web.BaseRequest, size: int) -> bytes:
    parts = []
    missing = size
    while missing > 0 and not request.content.at_eof():
        part = await request.content.readany()
        parts.append(part)
        missing -= len(part)
    return b''.join(parts)


async def _stream(
    request: web.BaseRequest,
    held: bytes,
) -> AsyncIterator[bytes]:
    total = len(held)
    yield held
    while not request.content.at_eof():
        part = await request.content.readany()
        total += len(part)
        if total > MAX_BODY_BYTES:
            raise unknown(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'request body is too long',
            )
        yield part


async def _answer_expectation(request: web.BaseRequest) -> None:
    expected = request.headers.get(names.EXPECT)
    if expected is None:
        return
    if expected.lower() != '100-continue':
        raise not_run(
            HTTPStatus.EXPECTATION_FAILED,
            'expectation is not known',
        )
    transport = request.transport
    if transport is not None:
        transport.write(_CONTINUE)


def _too_long() -> CallFault:
    return not_run(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'request body is too long',
    )
