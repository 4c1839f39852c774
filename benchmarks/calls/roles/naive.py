"""Plain proxy: round robin with up to three attempts per call."""

import itertools
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web

from benchmarks.calls.roles.registry import role
from benchmarks.calls.roles.serving import announce, listen

MIN_FAILURE_STATUS = 500


class RoundRobin:
    """Sends each call to the next target and retries it on a failure.

    Parameters
    ----------
    settings : dict
        ``targets`` with their addresses, and the number of ``attempts``.
    client : ClientSession
        Session for the calls to targets.
    """

    def __init__(self, settings: dict[str, Any], client: ClientSession) -> None:
        """Initialise with the first target as the next."""
        self._attempts = settings.get('attempts', 3)
        self._client = client
        self._targets = itertools.cycle(
            [target['address'] for target in settings['targets']],
        )

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the first answer with a status below 500, else the last."""
        body = await request.read()
        answer = await self._attempt(request, body)
        attempts = 1
        while answer.status >= MIN_FAILURE_STATUS and attempts < self._attempts:
            attempts += 1
            answer = await self._attempt(request, body)
        return answer

    async def _attempt(
        self,
        request: web.BaseRequest,
        body: bytes,
    ) -> web.Response:
        url = f'http://{next(self._targets)}{request.raw_path}'
        headers = request.headers.copy()
        headers.pop('host', None)
        try:
            async with self._client.request(
                request.method,
                url,
                headers=headers,
                data=body or None,
            ) as answer:
                return web.Response(
                    status=answer.status,
                    body=await answer.read(),
                )
        except (ClientError, OSError):
            return web.Response(status=502)


@role('naive')
async def run_naive(settings: dict[str, Any]) -> None:
    """Run the proxy until it is terminated."""
    async with ClientSession(
        connector=TCPConnector(limit=0),
        timeout=ClientTimeout(total=1),
    ) as client:
        _, address = await listen(RoundRobin(settings, client).serve)
        await announce(address=address)
