"""Health probes of targets over new connections."""

import asyncio
from typing import Final

from aiohttp import ClientError
from aiohttp.http import HttpProcessingError
from multidict import CIMultiDict

from mustardspur_node.calls.channels import TargetChannel, send_request
from mustardspur_node.calls.endpoints import Endpoint

HEALTH_PATH: Final = '/health'
PROBE_TIMEOUT_S: Final = 0.5


async def is_reachable(endpoint: Endpoint) -> bool:
    """Return whether a target responds over a new connection.

    Explanation
    ===========

    Any HTTP response counts, whatever its status. Reported health or load
    can be outdated or wrong, so it neither ejects a target nor prevents its
    ejection.
    """
    channel = TargetChannel(endpoint.target.address, 1)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            await _send_probe(channel)
    except (ClientError, HttpProcessingError, OSError):
        return False
    finally:
        await channel.close()
    return True


async def _send_probe(channel: TargetChannel) -> None:
    headers = CIMultiDict({'host': channel.address, 'connection': 'close'})
    request = channel.request('GET', HEALTH_PATH, headers, None)
    await send_request(request, await channel.connect(request))
