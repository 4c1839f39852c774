"""Deduplication of calls by idempotency key."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import xxhash
from aiohttp import web
from multidict import CIMultiDict

from mustardspur_node.calls import names
from mustardspur_node.calls.bodies import RequestBody
from mustardspur_node.calls.error_responses import (
    CallFault,
    Outcome,
    not_run,
    unknown,
)

RETENTION_S: Final = 600.0
MAX_KEYS: Final = 10_000
MAX_KEY_CHARS: Final = 200
# Bodies of all answers that are kept.
MAX_KEPT_BYTES: Final = 33_554_432


class StoredResponse:
    """A complete response that can be sent again."""

    __slots__ = ('body', 'headers', 'reason', 'status')

    def __init__(self, response: web.Response) -> None:
        """Initialise with copies, before the response is sent."""
        self.status = response.status
        self.reason = response.reason
        self.headers = CIMultiDict(response.headers)
        assert isinstance(response.body, bytes)
        self.body = response.body

    def response(self, request_id: str | None) -> web.Response:
        """Return a new response for a caller.

        Parameters
        ----------
        request_id : str or None
            Identifier of this caller's request. It replaces that of the
            first request, since the caller would match a response with
            another identifier to another request.
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


_CallResult = StoredResponse | CallFault


class _Record:
    __slots__ = ('completion', 'digest', 'expires_at', 'size')

    def __init__(
        self,
        digest: int,
        completion: asyncio.Future[_CallResult],
    ) -> None:
        self.digest = digest
        # Bytes of the answer that is kept.
        self.size = 0
        self.completion = completion
        self.expires_at: float = 0


class IdempotencyStore:
    """Responses to calls with an idempotency key, by service and key.

    Explanation
    ===========

    A call with a key runs in a separate task and continues after its caller
    disconnects, since the caller is expected to resend it. A resend gets the
    first response, or the first fault while the outcome is unknown. A call
    that was not run is removed and may be sent again as a new one. An answer
    that exceeds the bytes of all answers that are kept is not kept; a resend is
    then told that the outcome is unknown.
    """

    __slots__ = ('_kept_bytes', '_loop', '_records_by_key')

    def __init__(self) -> None:
        """Initialise an empty store."""
        self._loop = asyncio.get_running_loop()
        self._kept_bytes = 0
        self._records_by_key: dict[tuple[str, str], _Record] = {}

    async def execute_once(
        self,
        request: web.BaseRequest,
        service: str,
        body: RequestBody,
        run: Callable[[], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Run a call with a key once and return its first response.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            Request with an idempotency key.
        service : str
            Service that is called; keys are scoped by service.
        body : RequestBody
            Body of the request.
        run : callable
            Runs the call.

        Raises
        ------
        CallFault
            If the outcome is unknown, the key belongs to another request,
            or the key cannot be accepted.
        """
        key = (service, request.headers[names.IDEMPOTENCY_KEY])
        digest = _digest(request, body)
        record = self._records_by_key.get(key)
        if record is None:
            self._check_new_key(request, body)
            task = self._loop.create_task(_run(run))
            record = _Record(digest, task)
            self._records_by_key[key] = record
            task.add_done_callback(lambda done: self._on_completed(key, record))
        elif record.digest != digest:
            raise not_run(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'idempotency key belongs to another request',
            )
        call_result = await asyncio.shield(record.completion)
        if isinstance(call_result, CallFault):
            raise call_result.without_frames()
        return call_result.response(request.headers.get(names.REQUEST_ID))

    def expire(self) -> None:
        """Remove the records whose retention time has passed."""
        now = self._loop.time()
        records = self._records_by_key
        for key, record in list(records.items()):
            if record.expires_at and record.expires_at <= now:
                self._kept_bytes -= records.pop(key).size

    def _check_new_key(
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

    def _on_completed(self, key: tuple[str, str], record: _Record) -> None:
        record.expires_at = self._loop.time() + RETENTION_S
        if record.completion.cancelled():
            return
        call_result = record.completion.result()
        if (
            isinstance(call_result, CallFault)
            and call_result.outcome is Outcome.NOT_RUN
        ):
            self._records_by_key.pop(key, None)
        elif isinstance(call_result, StoredResponse):
            self._keep(record, call_result)

    def _keep(self, record: _Record, response: StoredResponse) -> None:
        size = len(response.body)
        if self._kept_bytes + size > MAX_KEPT_BYTES:
            record.completion = self._loop.create_future()
            record.completion.set_result(_not_kept())
        else:
            record.size = size
            self._kept_bytes += size


async def _run(
    run: Callable[[], Awaitable[web.StreamResponse]],
) -> _CallResult:
    try:
        response = await run()
    except CallFault as fault:
        # Kept as long as the key, with all that its frames would hold.
        return fault.without_frames()
    if isinstance(response, web.Response):
        return StoredResponse(response)
    return _not_kept()


def _not_kept() -> CallFault:
    return unknown(HTTPStatus.CONFLICT, 'first answer was too long to keep')


def _digest(request: web.BaseRequest, body: RequestBody) -> int:
    hasher = xxhash.xxh3_64(
        f'{request.method} {request.raw_path}'.encode(),
    )
    hasher.update(body.buffered or b'')
    return hasher.intdigest()
