"""Refusal of connections beyond the limit of a listener."""

import asyncio
import logging
from http import HTTPStatus
from typing import Any, Final

from mustardspur_core.connection_end import end_writing, hold_last_segment
from mustardspur_core.descriptors import descriptor_limit, max_refused

_LOG: Final = logging.getLogger(__name__)

# Time for the request of a new connection to arrive.
REQUEST_S: Final = 0.5
# Time for the client to read the refusal. Closing with unread bytes would reset
# the connection and lose it.
LINGER_S: Final = 0.5
# Between two log lines of a listener.
LOG_INTERVAL_S: Final = 10.0
_REASON: Final = 'too many connections'


class RefusedConnections:
    """Answers the requests on connections beyond a limit with 503.

    Explanation
    ===========

    The request is not read, so it has not run. Connections that are beyond the
    limit of those that are answered are closed at once.

    Parameters
    ----------
    listener : str
        Name of the listener in the log.
    retry_after : str, optional
        Name of the header that says when to try again.
    headers : tuple of str, optional
        Further lines of the head of a refusal.

    Attributes
    ----------
    open : int
        Connections that are being refused.
    """

    __slots__ = (
        '_answer',
        '_listener',
        '_logged_s',
        '_max_open',
        '_unlogged',
        'open',
    )

    def __init__(
        self,
        listener: str,
        retry_after: str = 'Retry-After',
        headers: tuple[str, ...] = (),
    ) -> None:
        """Initialise without connections."""
        self._answer = plain_answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{retry_after}: 1',
            *headers,
            text=_REASON,
        )
        self._listener = listener
        self._max_open = max_refused(descriptor_limit())
        self._logged_s = float('-inf')
        self._unlogged = 0
        self.open = 0

    def create(self, connections: int) -> asyncio.Protocol:
        """Return the protocol of a new connection that is refused.

        Parameters
        ----------
        connections : int
            Open connections of the listener, for the log.
        """
        self._report(connections)
        if self.open >= self._max_open:
            return _AbortedConnection()
        self.open += 1
        return _RefusedConnection(self._answer, self)

    def _report(self, connections: int) -> None:
        self._unlogged += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        _LOG.warning(
            'connections refused',
            extra={
                'listener': self._listener,
                'reason': _REASON,
                'refused': self._unlogged,
                'connections': connections,
            },
        )
        self._logged_s = now_s
        self._unlogged = 0


def plain_answer(
    status: HTTPStatus,
    *headers: str,
    text: str,
    content_type: str = 'text/plain',
) -> bytes:
    """Return an answer that ends its connection.

    Parameters
    ----------
    status : HTTPStatus
        Status of the answer.
    headers : str
        Further lines of its head.
    text : str
        Line of its body.
    content_type : str, optional
        Type of its body.
    """
    body = f'{text}\n'
    return '\r\n'.join(
        (
            f'HTTP/1.1 {status.value} {status.phrase}',
            f'content-type: {content_type}',
            *headers,
            f'content-length: {len(body)}',
            'connection: close',
            '',
            body,
        ),
    ).encode()


class _RefusedConnection(asyncio.Protocol):
    """Answers the first bytes of a request and closes."""

    __slots__ = ('_answer', '_refused', '_timer', '_transport')

    def __init__(self, answer: bytes, refused: RefusedConnections) -> None:
        self._answer = answer
        self._refused = refused
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REQUEST_S, transport.abort)

    def data_received(self, _: bytes) -> None:
        if not self._answer or self._transport is None:
            return
        hold_last_segment(self._transport)
        self._transport.write(self._answer)
        end_writing(self._transport)
        self._answer = b''
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_S, self._transport.abort)

    def connection_lost(self, _: BaseException | None) -> None:
        self._refused.open -= 1
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class _AbortedConnection(asyncio.Protocol):
    """Closes at once."""

    __slots__ = ()

    def connection_made(self, transport: Any) -> None:
        transport.abort()
