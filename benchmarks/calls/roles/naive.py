"""Plain proxy: round robin, up to three attempts of any failed call."""

import itertools
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web

from benchmarks.calls.roles.registry import role
from benchmarks.calls.roles.serving import announce, listen

FAILURE = 500


class RoundRobin:
    """Sends each call to the next target and tries again on a failure."""

    def __init__(self, settings: dict[str, Any], client: ClientSession) -> None:
        """Take the targets in turn."""
        self._attempts = settings.get('attempts', 3)
        self._client = client
        self._targets = itertools.cycle(
            [target['address'] for target in settings['targets']],
        )

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the first answer that is no failure, or the last one."""
        body = await request.read()
        answer = await self._attempt(request, body)
        attempts = 1
        while answer.status >= FAILURE and attempts < self._attempts:
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
