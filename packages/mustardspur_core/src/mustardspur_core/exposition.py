"""Metrics in the Prometheus text format, served over HTTP."""

import asyncio
import logging
from bisect import bisect_left
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.http_serving import StopListening, serving_app
from mustardspur_core.tasks import background

_LOG: Final = logging.getLogger(__name__)

# Between two attempts to listen.
RETRY_S: Final = 1.0
# Upper bounds of the histogram buckets.
BUCKETS_MS: Final = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000)


class MetricsRegistry:
    """Metrics of a process, stored until they are scraped.

    Explanation
    ===========

    In the text a name gets the prefix ``mustardspur_``, and its dots become
    underscores.
    """

    __slots__ = ('_buckets', '_counters', '_gauges', '_sums')

    def __init__(self) -> None:
        """Initialise a registry without metrics."""
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._buckets: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""
        self._counters[stat] = self._counters.get(stat, 0) + count

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[stat] = value

    def timing(self, stat: str, delta: float) -> None:
        """Add a duration in milliseconds to a histogram."""
        buckets = self._buckets.get(stat)
        if buckets is None:
            buckets = [0 for _ in (*BUCKETS_MS, None)]
            self._buckets[stat] = buckets
        buckets[bisect_left(BUCKETS_MS, delta)] += 1
        self._sums[stat] = self._sums.get(stat, 0) + delta

    async def serve_text(self, _: web.Request) -> web.Response:
        """Return all metrics as an HTTP response."""
        return web.Response(text=self.text())

    def text(self) -> str:
        """Return all metrics in the text format."""
        lines = [
            f'{_label(name)} {value}'
            for values_by_name in (self._counters, self._gauges)
            for name, value in sorted(values_by_name.items())
        ]
        for stat, buckets in sorted(self._buckets.items()):
            lines.extend(_histogram(_label(stat), buckets, self._sums[stat]))
        return '\n'.join([*lines, ''])


@asynccontextmanager
async def serving_metrics(
    address: str | None,
    registry: MetricsRegistry,
) -> AsyncIterator[StopListening]:
    """Serve the metrics on an address while the context is active.

    Explanation
    ===========

    A process serves its callers without its metrics as well, so an address
    that is taken is tried again and neither delays nor ends a start.

    Yields
    ------
    callable
        Accepts no further connections.
    """
    exposition = _Exposition(address, registry)
    async with background(exposition.run()):
        yield exposition.stop_listening


class _Exposition:
    """Serves the metrics as soon as the address is free."""

    __slots__ = ('_address', '_is_stopped', '_registry', '_stop_listening')

    def __init__(self, address: str | None, registry: MetricsRegistry) -> None:
        self._address = address
        self._registry = registry
        self._is_stopped = False
        self._stop_listening: StopListening | None = None

    async def run(self) -> None:
        """Serve until cancelled, or until it is stopped before it serves."""
        is_logged = False
        while not self._is_stopped:
            try:
                await self._serve()
            except OSError as error:
                if not is_logged:
                    _log_unserved(self._address, error)
                is_logged = True
            await asyncio.sleep(RETRY_S)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        self._is_stopped = True
        if self._stop_listening is not None:
            self._stop_listening()

    async def _serve(self) -> None:
        app = web.Application()
        app.router.add_get('/metrics', self._registry.serve_text)
        async with serving_app(app, self._address) as stop_listening:
            self._stop_listening = stop_listening
            await asyncio.Event().wait()


def _log_unserved(address: str | None, error: OSError) -> None:
    _LOG.warning(
        'metrics not served',
        extra={'address': address, 'reason': str(error)},
    )


def _label(name: str) -> str:
    return f'mustardspur_{name.replace(".", "_")}'


def _histogram(label: str, buckets: list[int], total: float) -> list[str]:
    lines: list[str] = []
    cumulative = 0
    for bound, count in zip((*BUCKETS_MS, '+Inf'), buckets, strict=True):
        cumulative += count
        lines.append(f'{label}_bucket{{le="{bound}"}} {cumulative}')
    return [*lines, f'{label}_sum {total:.1f}', f'{label}_count {cumulative}']
