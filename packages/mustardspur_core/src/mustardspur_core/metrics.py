"""Metrics sent to statsd."""

import importlib
from typing import Protocol

from mustardspur_core.settings.model import Settings


class Metrics(Protocol):
    """Interface of a statsd client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""


class NullMetrics:
    """Metrics that are discarded, for a process without statsd."""

    __slots__ = ()

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter increment."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def connect_metrics(settings: Settings) -> Metrics:
    """Return a statsd client, or `NullMetrics` if no address is set."""
    if settings.statsd is None:
        return NullMetrics()
    host, _, port = settings.statsd.rpartition(':')
    # Imported on use, since the nodes of a mesh have no statsd address.
    statsd = importlib.import_module('statsd')
    client: Metrics = statsd.StatsClient(
        host,
        int(port),
        prefix=f'mustardspur.{settings.role}.{settings.id}',
    )
    return client
