"""Counters and histograms as text, for readers that fetch them."""

from bisect import bisect_left
from contextlib import AbstractAsyncContextManager
from typing import Final

from aiohttp import web

from mustardspur_core.http_serving import serving_app

# Upper bounds of the buckets of a time, in milliseconds.
BUCKETS_MS: Final = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000)


class Exposition:
    """Metrics of a process that are kept until they are fetched.

    Explanation
    ===========

    Names have dots in the process and underscores in the text, after the
    prefix ``mustardspur_``.
    """

    __slots__ = ('_buckets', '_counters', '_gauges', '_sums')

    def __init__(self) -> None:
        """Start without figures."""
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._buckets: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
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

    async def answer(self, _: web.Request) -> web.Response:
        """Answer a reader with all figures."""
        return web.Response(text=self.text())

    def text(self) -> str:
        """Return all figures, a line each."""
        lines = [
            f'{_label(name)} {figure}'
            for figures in (self._counters, self._gauges)
            for name, figure in sorted(figures.items())
        ]
        for stat, buckets in sorted(self._buckets.items()):
            lines.extend(_histogram(_label(stat), buckets, self._sums[stat]))
        return '\n'.join([*lines, ''])


def serving_metrics(
    address: str | None,
    exposition: Exposition,
) -> AbstractAsyncContextManager[None]:
    """Serve the figures on an address for the length of a block."""
    app = web.Application()
    app.router.add_get('/metrics', exposition.answer)
    return serving_app(app, address)


def _label(name: str) -> str:
    return f'mustardspur_{name.replace(".", "_")}'


def _histogram(label: str, buckets: list[int], total: float) -> list[str]:
    lines: list[str] = []
    below = 0
    for bound, count in zip((*BUCKETS_MS, '+Inf'), buckets, strict=True):
        below += count
        lines.append(f'{label}_bucket{{le="{bound}"}} {below}')
    return [*lines, f'{label}_sum {total:.1f}', f'{label}_count {below}']
