"""Answers to callers and their encoding as HTTP/1.1."""

import asyncio
from http import HTTPStatus
from typing import Final

from mustardspur_core.connection_end import hold_last_segment
from mustardspur_core.record import Record

from mustardspur_node.mesh.body_room import SMALL_BODY_BYTES
from mustardspur_node.mesh.calls import Headers, TargetAnswer, UnansweredCall
from mustardspur_node.mesh.names import HeaderNames

# Statuses of calls that did not run and may be sent again after a time.
_RETRY_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)


class CallerAnswer(Record):
    """An answer to a caller.

    Parameters
    ----------
    closes : bool
        Whether the connection is closed after it.
    """

    __slots__ = ('status', 'reason', 'headers', 'body', 'closes')
    status: int
    reason: str
    headers: Headers
    body: bytes
    closes: bool


def node_answer(
    status: HTTPStatus,
    reason: str,
    headers: Headers | None = None,
    *,
    closes: bool = False,
) -> CallerAnswer:
    """Return an answer created by the node with the reason as its body."""
    return CallerAnswer(
        status=status.value,
        reason=status.phrase,
        headers=[['content-type', 'text/plain'], *(headers or [])],
        body=f'{reason}\n'.encode(),
        closes=closes,
    )


def malformed_answer(reason: str) -> CallerAnswer:
    """Return the answer to a request that does not follow the protocol."""
    return node_answer(HTTPStatus.BAD_REQUEST, reason, closes=True)


def unrouted_answer() -> CallerAnswer:
    """Return the answer to a request that no route matches."""
    return node_answer(HTTPStatus.NOT_FOUND, 'no route matches')


def failed_answer() -> CallerAnswer:
    """Return the answer to a call that failed unexpectedly.

    Whether the call has run is unknown, so the answer promises nothing.
    """
    return node_answer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'unexpected error of the node',
    )


def refusal_answer(
    unanswered: UnansweredCall,
    names: HeaderNames,
) -> CallerAnswer:
    """Return the answer to a call without an answer of a target."""
    headers: Headers = []
    if unanswered.status in _RETRY_STATUSES:
        after_s = unanswered.retry_after_s
        headers.append([names.retry_after, format(after_s, '.4g')])
    if unanswered.status == HTTPStatus.UNAUTHORIZED:
        headers.append(['www-authenticate', 'Bearer'])
    return node_answer(
        unanswered.status,
        unanswered.reason,
        headers,
        closes=unanswered.closes,
    )


def forward_answer(answer: TargetAnswer) -> CallerAnswer:
    """Return the unchanged answer of a target for the caller."""
    return CallerAnswer(
        status=answer.status,
        reason=answer.reason,
        headers=answer.headers,
        body=answer.body,
        closes=False,
    )


def write_answer(
    transport: asyncio.Transport,
    answer: CallerAnswer,
    method: str,
    *,
    closes: bool,
) -> None:
    """Write an answer as HTTP/1.1; a large body is not copied.

    Parameters
    ----------
    method : str
        Method of the request; an answer to HEAD has no body.
    closes : bool
        Whether to add ``connection: close``. The last segment is then held
        until the writing side is closed.
    """
    lines = [f'HTTP/1.1 {answer.status} {answer.reason}']
    lines.extend(f'{name}: {text}' for name, text in answer.headers)
    if answer.status not in _STATUSES_WITHOUT_BODY:
        lines.append(f'content-length: {len(answer.body)}')
    if closes:
        lines.append('connection: close')
        hold_last_segment(transport)
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('utf-8', 'surrogateescape')
    if method == 'HEAD':
        transport.write(head)
    elif len(answer.body) > SMALL_BODY_BYTES:
        transport.write(head)
        transport.write(answer.body)
    else:
        transport.write(head + answer.body)


_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
