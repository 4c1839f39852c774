"""Outcomes of a node's calls by version and route, for running transfers."""

from mustardspur_core.mesh.control_messages import RouteOutcomeCounts
from mustardspur_moves.histogram import bucket_of

# Service, version and route.
Key = tuple[str, str, str]


class RunCounts:
    """Counts of the runs of a route at one version."""

    __slots__ = (
        'failed',
        'latency_counts',
        'runs',
        'timed',
        'timed_ms',
        'unanswered',
    )

    def __init__(self) -> None:
        """Initialise without runs."""
        self.runs = 0
        self.failed = 0
        self.timed = 0
        self.timed_ms: float = 0
        self.unanswered = 0
        self.latency_counts: dict[int, int] = {}

    def count_latency(self, run_ms: float) -> None:
        """Add a latency to the histogram."""
        bucket = bucket_of(run_ms)
        self.latency_counts[bucket] = self.latency_counts.get(bucket, 0) + 1

    def message(self, key: Key) -> RouteOutcomeCounts:
        """Return the counts as part of a message."""
        service, version, route = key
        return RouteOutcomeCounts(
            service=service,
            version=version,
            route=route,
            runs=self.runs,
            failed=self.failed,
            timed=self.timed,
            timed_ms=self.timed_ms,
            unanswered=self.unanswered,
            latency_buckets=list(self.latency_counts),
            latency_counts=list(self.latency_counts.values()),
        )


class TransferEvidence:
    """Counts of runs since the start of the transfer of each service.

    Attributes
    ----------
    changed : bool
        Whether the counts changed since they were last sent.
    """

    __slots__ = ('_counts_by_key', 'changed')

    def __init__(self) -> None:
        """Initialise without counts."""
        self._counts_by_key: dict[Key, RunCounts] = {}
        self.changed = False

    @property
    def rows(self) -> list[RouteOutcomeCounts]:
        """Counts of all services, versions and routes."""
        return [
            counts.message(key) for key, counts in self._counts_by_key.items()
        ]

    def record(
        self,
        key: Key,
        run_ms: float,
        *,
        failed: bool,
        timed: bool,
    ) -> None:
        """Count a run that has ended at the target.

        Parameters
        ----------
        key : tuple of str
            Service, version and route.
        run_ms : float
            Run time in milliseconds.
        failed : bool
            Whether the run failed at the target.
        timed : bool
            Whether the run time is counted; times of failed runs and of cold
            targets do not represent the version.
        """
        counts = self._counts(key)
        counts.runs += 1
        counts.failed += failed
        if timed:
            counts.timed += 1
            counts.timed_ms += run_ms
            counts.count_latency(run_ms)

    def record_unanswered(
        self,
        key: Key,
        elapsed_ms: float,
        *,
        timed: bool,
    ) -> None:
        """Count a run whose answer was no longer awaited.

        Parameters
        ----------
        key : tuple of str
            Service, version and route.
        elapsed_ms : float
            Time from the start of the run until it was given up.
        timed : bool
            Whether the time is counted.
        """
        counts = self._counts(key)
        counts.unanswered += 1
        if timed:
            counts.count_latency(elapsed_ms)

    def reset(self, service: str) -> None:
        """Remove the counts of a service."""
        for key in list(self._counts_by_key):
            if key[0] == service:
                self._counts_by_key.pop(key)
        self.changed = True

    def _counts(self, key: Key) -> RunCounts:
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = self._counts_by_key.setdefault(key, RunCounts())
        self.changed = True
        return counts
