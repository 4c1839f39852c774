"""HTTP servers of the roles."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def listen(
    handler: Handler,
    *,
    cancel: bool = False,
) -> tuple[web.ServerRunner, str]:
    """Serve on a free port and return the runner and the address."""
    server = web.Server(handler, handler_cancellation=cancel, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0, backlog=512).start()
    host, port = runner.addresses[0]
    return runner, f'{host}:{port}'


async def announce(**fields: Any) -> None:
    """Print the addresses of the process as JSON, then wait forever."""
    sys.stdout.write(f'{json.dumps(fields)}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()
