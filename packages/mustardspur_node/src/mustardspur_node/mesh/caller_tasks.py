"""Tasks that answer the requests of callers."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, Final

from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import RawRequestMessage

from mustardspur_node.mesh.caller_answers import CallerAnswer, node_answer
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.request_body import RequestBody

_LOG: Final = logging.getLogger(__name__)
# Its lines are limited over all connections.
_REFUSALS: Final = DecisionLog()

Answer = Callable[
    [RawRequestMessage, RequestBody],
    Coroutine[Any, Any, CallerAnswer],
]


async def answer_unless_left(
    answer: Answer,
    message: RawRequestMessage,
    body: RequestBody,
) -> CallerAnswer:
    """Answer a request, or fail in a way that promises nothing."""
    # After a delay of the loop, the close of a caller that gave up can wait
    # behind its request. It is read in the next iteration.
    await asyncio.sleep(0)
    try:
        return await answer(message, body)
    except Exception:
        # Whether a target has run it is unknown, so the answer promises
        # nothing.
        _LOG.exception('request failed unexpectedly')
        return node_answer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'unexpected error of the node',
        )
    finally:
        body.payload.end()


def report_malformed(error: HttpProcessingError, limit_bytes: int) -> None:
    """Log the refusal of a malformed request, without its lines."""
    _REFUSALS.write(
        'caller refused',
        reason=type(error).__name__,
        limit_bytes=limit_bytes,
    )


def malformed_request(
    error: HttpProcessingError,
    *,
    is_outdated: bool,
) -> tuple[HTTPStatus, str]:
    """Return the status and reason of the refusal of a malformed request.

    Parameters
    ----------
    error : HttpProcessingError
        What is wrong with its head.
    is_outdated : bool
        Whether a new connection would allow longer headers.
    """
    if is_outdated and isinstance(error, LineTooLong):
        return (
            HTTPStatus.SERVICE_UNAVAILABLE,
            'the limit of headers was raised after the connection',
        )
    status = HTTPStatus.BAD_REQUEST
    if isinstance(error, LineTooLong):
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    # The message of the error contains the line, which may have a key.
    return status, f'request is malformed: {type(error).__name__}'


def end_if_failed(
    transport: asyncio.BaseTransport,
    writer: 'asyncio.Task[None]',
) -> None:
    """End a connection on which no answer can be written any more."""
    if not writer.cancelled() and writer.exception() is not None:
        _LOG.error('answers are not written', exc_info=writer.exception())
        transport.close()
