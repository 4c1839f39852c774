"""First answers by idempotency key."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import xxhash
from aiohttp import web
from multidict import CIMultiDict

from mustardspur_node.calls import names
from mustardspur_node.calls.answers import CallFault, Outcome, not_run, unknown
from mustardspur_node.calls.bodies import RequestBody

KEPT_S: Final = 600.0
MAX_KEYS: Final = 10_000
MAX_KEY_CHARS: Final = 200


class KeptAnswer:
    """A complete answer that can be given again."""

    __slots__ = ('body', 'headers', 'reason', 'status')

    def __init__(self, response: web.Response) -> None:
        """Copy the parts before the response is sent."""
        self.status = response.status
        self.reason = response.reason
        self.headers = CIMultiDict(response.headers)
        self.body = response.body

    def response(self, request_id: str | None) -> web.Response:
        """Return a new response for a caller.

        Parameters
        ----------
        request_id : str or None
            Identifier of this caller's request, which replaces that of the
            first one; its caller would take the answer for a crossed one.
        """
        headers = self.headers.copy()
        if request_id is not None and names.REQUEST_ID in headers:
            headers[names.REQUEST_ID] = request_id
        return web.Response(
            status=self.status,
            reason=self.reason,
            headers=headers,
            body=self.body,
        )


_Answer = KeptAnswer | CallFault


class _Record:
    __slots__ = ('answered', 'digest', 'ends_at')

    def __init__(
        self,
        digest: int,
        answered: asyncio.Task[_Answer],
    ) -> None:
        self.digest = digest
        self.answered = answered
        self.ends_at: float = 0


class KeyedAnswers:
    """Calls with an idempotency key that this node received first.

    Explanation
    ===========

    A keyed call runs in a task of its own and goes on when its caller is
    gone, since the caller is expected to send it again. A resend gets the
    first answer. While the first outcome is unknown it is refused, and a
    call that was not run may be sent again as a new one.
    """

    __slots__ = ('_loop', '_records_by_key')

    def __init__(self) -> None:
        """Start without keys."""
        self._loop = asyncio.get_running_loop()
        self._records_by_key: dict[tuple[str, str], _Record] = {}

    async def answer(
        self,
        request: web.BaseRequest,
        service: str,
        body: RequestBody,
        run: Callable[[], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Run a keyed call once and return its first answer.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            Request with an idempotency key.
        service : str
            Service that is called; keys of two services differ.
        body : RequestBody
            Body of the request.
        run : callable
            Runs the call.

        Raises
        ------
        CallFault
            If the outcome is not known, or the key belongs to another call.
        """
        key = (service, request.headers[names.IDEMPOTENCY_KEY])
        digest = _digest(request, body)
        record = self._records_by_key.get(key)
        if record is None:
            self._check_first(request, body)
            task = self._loop.create_task(_run(run))
            record = _Record(digest, task)
            self._records_by_key[key] = record
            task.add_done_callback(lambda done: self._on_answer(key, record))
        elif record.digest != digest:
            raise not_run(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'idempotency key belongs to another request',
            )
        answered = await asyncio.shield(record.answered)
        if isinstance(answered, CallFault):
            raise answered
        return answered.response(request.headers.get(names.REQUEST_ID))

    def expire(self) -> None:
        """Forget answers that were kept long enough."""
        now = self._loop.time()
        records = self._records_by_key
        for key, record in list(records.items()):
            if record.ends_at and record.ends_at <= now:
                records.pop(key)

    def _check_first(
        self,
        request: web.BaseRequest,
        body: RequestBody,
    ) -> None:
        if names.RESEND in request.headers:
            raise unknown(
                HTTPStatus.CONFLICT,
                'this node does not know the outcome of the first call',
            )
        if len(request.headers[names.IDEMPOTENCY_KEY]) > MAX_KEY_CHARS:
            raise not_run(
                HTTPStatus.BAD_REQUEST,
                'idempotency key is too long',
            )
        if body.streamed:
            raise not_run(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body is too long for a call with an idempotency key',
            )
        if len(self._records_by_key) >= MAX_KEYS:
            raise not_run(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'too many idempotency keys are kept',
            )

    def _on_answer(self, key: tuple[str, str], record: _Record) -> None:
        record.ends_at = self._loop.time() + KEPT_S
        if record.answered.cancelled():
            return
        answered = record.answered.result()
        if (
            isinstance(answered, CallFault)
            and answered.outcome is Outcome.NOT_RUN
        ):
            self._records_by_key.pop(key, None)


async def _run(
    run: Callable[[], Awaitable[web.StreamResponse]],
) -> _Answer:
    try:
        response = await run()
    except CallFault as fault:
        return fault
    if isinstance(response, web.Response):
        return KeptAnswer(response)
    return unknown(HTTPStatus.CONFLICT, 'first answer was too long to keep')


def _digest(request: web.BaseRequest, body: RequestBody) -> int:
    hasher = xxhash.xxh3_64(
        f'{request.method} {request.raw_path}'.encode(),
    )
    hasher.update(body.held or b'')
    return hasher.intdigest()
