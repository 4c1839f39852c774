"""Counters of forwarded calls, sent to statsd once a second."""

from mustardspur_core.metrics import Metrics


class Counters:
    """Counts since the last flush, by name."""

    __slots__ = ('_counts_by_name', '_totals_by_name')

    def __init__(self) -> None:
        """Initialise without counts."""
        self._counts_by_name: dict[str, int] = {}
        self._totals_by_name: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Increment a counter."""
        counts = self._counts_by_name
        counts[name] = counts.get(name, 0) + 1

    def flush(self, metrics: Metrics) -> None:
        """Send the counts, one datagram for each name, and reset them."""
        counts = self._counts_by_name
        self._counts_by_name = {}
        for name, count in counts.items():
            metrics.incr(f'calls.{name}', count)
            self._totals_by_name[name] = self.total(name) + count

    def total(self, name: str) -> int:
        """Return the count since the start of the node."""
        return self._totals_by_name.get(name, 0) + self._counts_by_name.get(
            name, 0
        )
