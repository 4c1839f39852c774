"""Metrics over statsd."""

from typing import Protocol

import statsd

from mustardspur_core.settings.model import Settings


class Metrics(Protocol):
    """What the processes use of a statsd client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""


class NullMetrics:
    """Metrics for a process without a statsd address."""

    __slots__ = ()

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""


def connect_metrics(settings: Settings) -> Metrics:
    """Return a statsd client, or a silent one where no address is set."""
    if settings.statsd is None:
        return NullMetrics()
    host, _, port = settings.statsd.rpartition(':')
    client: Metrics = statsd.StatsClient(
        host,
        int(port),
        prefix=f'mustardspur.{settings.role}.{settings.id}',
    )
    return client
