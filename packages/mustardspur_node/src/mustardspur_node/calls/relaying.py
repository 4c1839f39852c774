"""Answers of targets on their way to callers."""

from http import HTTPStatus
from typing import Final

from aiohttp import ClientError, web
from aiohttp.http import HttpProcessingError
from mustardspur_core.units import BYTES_PER_MIB

from mustardspur_node.calls.answers import unknown
from mustardspur_node.calls.attempts import Attempt, Reply
from mustardspur_node.calls.headers import forwarded_response_headers

MAX_KEPT_BYTES: Final = BYTES_PER_MIB


async def relay(attempt: Attempt, reply: Reply) -> web.StreamResponse:
    """Return the caller's answer, or send a long one part by part.

    Explanation
    ===========

    A short answer is complete before its first byte goes to the caller. A
    long one that breaks on the way ends with the caller's connection, so
    that a truncated answer cannot be taken for a complete one.
    """
    response = reply.response
    if reply.body is not None:
        return await hold(attempt, reply)
    answer = web.StreamResponse(
        status=response.status,
        reason=response.reason,
        headers=forwarded_response_headers(response),
    )
    call = attempt.call
    call.answer = answer
    await answer.prepare(call.request)
    try:
        await _copy(attempt, reply, answer)
    except (ClientError, HttpProcessingError, OSError):
        abort_caller(call.request)
    finally:
        response.close()
    return answer


async def hold(attempt: Attempt, reply: Reply) -> web.Response:
    """Return an answer that is read whole, for a call with a key.

    Raises
    ------
    CallFault
        If the answer is too long to be kept or breaks on the way.
    """
    response = reply.response
    body = reply.body
    if body is None:
        body = await _read_whole(reply)
    count_bytes(attempt, len(body))
    headers = forwarded_response_headers(response)
    return web.Response(
        body=body,
        status=response.status,
        reason=response.reason,
        headers=headers,
    )


def abort_caller(request: web.BaseRequest) -> None:
    """Close the caller's connection, which marks its answer incomplete."""
    transport = request.transport
    if transport is not None:
        transport.abort()


def count_bytes(attempt: Attempt, answer_size: int) -> None:
    """Count the bytes of a call that crossed a paid link."""
    meter = attempt.endpoint.meter
    if meter is not None:
        meter.count(attempt.call.body.size + answer_size)


async def _copy(
    attempt: Attempt,
    reply: Reply,
    answer: web.StreamResponse,
) -> None:
    content = reply.response.content
    size = 0
    while not content.at_eof():
        part = await content.readany()
        if part:
            size += len(part)
            await answer.write(part)
    await answer.write_eof()
    count_bytes(attempt, size)


async def _read_whole(reply: Reply) -> bytes:
    content = reply.response.content
    parts: list[bytes] = []
    size = 0
    try:
        while not content.at_eof() and size <= MAX_KEPT_BYTES:
            parts.append(await content.readany())
            size += len(parts[-1])
    except (ClientError, HttpProcessingError, OSError) as error:
        raise unknown(
            HTTPStatus.BAD_GATEWAY,
            'answer broke on the way',
        ) from error
    finally:
        reply.response.close()
    if size > MAX_KEPT_BYTES:
        raise unknown(
            HTTPStatus.BAD_GATEWAY,
            'answer is too long for a call with an idempotency key',
        )
    return b''.join(parts)
