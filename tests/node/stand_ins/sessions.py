"""Stand-in targets of two client accounts and session transcripts."""

import json
from types import MappingProxyType
from typing import Any, Final

from aiohttp import web

from tests.node.stand_ins.mesh import Mesh
from tests.node.stand_ins.views import make_route

FORMS_ROUTES: Final = (
    ('drafts', '/drafts', ['GET'], 'bulk', 'fetch', True),
    ('filings', '/filings', ['POST'], 'bulk', 'once', False),
    ('fees', '/fees', ['POST'], 'bulk', 'once', False),
    ('addresses', '/addresses', ['GET'], 'quick', 'fetch', True),
)
Step = tuple[str, str, dict[str, str]]
_STABLE_HEADERS: Final = (
    'x-request-id',
    'x-mustardspur-outcome',
    'content-type',
)
_REFUSAL: Final = MappingProxyType({'x-mustardspur-refused': '1'})


def routes(fields: tuple[Any, ...]) -> list[dict[str, Any]]:
    """Return the documents of the routes of a client account."""
    return [make_route(*route) for route in fields]


class SessionTarget:
    """Runs, refuses or fails calls by their path.

    A path that ends in ``busy`` is refused, one in ``lost`` gets its answer
    cut after it ran, one in ``broken`` fails on its first run.
    """

    def __init__(self) -> None:
        """Initialise without runs."""
        self.runs: list[str] = []

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Respond with the number of the run."""
        body = (await request.read()).decode()
        if request.path.endswith('busy'):
            return web.Response(status=503, headers=_REFUSAL)
        run = f'{request.method} {request.path} {body}'.strip()
        first = run not in self.runs
        self.runs.append(run)
        if request.path.endswith('lost') and request.transport is not None:
            request.transport.close()
        failed = request.path.endswith('broken') and first
        return web.json_response(
            {'run': len(self.runs)},
            status=500 if failed else 200,
            headers={'x-request-id': request.headers['x-request-id']},
        )


async def transcript(
    mesh: Mesh,
    target: SessionTarget,
    steps: tuple[Step, ...],
) -> dict[str, Any]:
    """Run a session and return its complete transcript.

    Parameters
    ----------
    mesh : Mesh
        The node.
    target : SessionTarget
        The node's target.
    steps : tuple
        Method, path and headers of each call.
    """
    waiting = list(steps)
    entries: list[dict[str, Any]] = []
    while waiting:
        method, path, headers = waiting.pop(0)
        headers = {'x-request-id': f'r{len(entries)}', **headers}
        url = f'http://{mesh.address}{path}'
        sent = b'paper' if method == 'POST' else None
        async with mesh.client.request(
            method,
            url,
            headers=headers,
            data=sent,
        ) as answer:
            entries.append(
                {
                    'call': f'{method} {path}',
                    'sent': headers,
                    'status': answer.status,
                    'headers': _stable_headers(answer.headers),
                    'body': json.loads(await answer.read() or 'null'),
                },
            )
    return {
        'session': entries,
        'runs': target.runs,
        'outcomes': [list(row) for row in mesh.outcomes.rows],
    }


def _stable_headers(headers: Any) -> dict[str, str]:
    return {name: headers[name] for name in _STABLE_HEADERS if name in headers}
