"""Counts of the outcomes of calls."""

from mustardspur_core.record import Record

from mustardspur_moves.histogram import add_counts, bucket_of


class Tally(Record):
    """Counts of calls by their outcome.

    Parameters
    ----------
    calls, failures, refusals : int
        All calls, failed ones and refused ones.
    latency_counts : dict of int
        Calls that succeeded, by latency bucket. A fast error or refusal must
        not look like a quick answer.
    """

    __slots__ = ('calls', 'failures', 'refusals', 'latency_counts')
    calls: int
    failures: int
    refusals: int
    latency_counts: dict[int, int]

    def __init__(
        self,
        *,
        calls: int,
        failures: int,
        refusals: int,
        latency_counts: dict[int, int],
    ) -> None:
        """Set the fields directly, since this is on the path of a call."""
        self.calls = calls
        self.failures = failures
        self.refusals = refusals
        self.latency_counts = latency_counts

    @classmethod
    def empty(cls) -> 'Tally':
        """Return a tally without calls."""
        return cls(calls=0, failures=0, refusals=0, latency_counts={})

    def add(self, other: 'Tally') -> None:
        """Add the counts of another tally to this one."""
        self.calls += other.calls
        self.failures += other.failures
        self.refusals += other.refusals
        add_counts(self.latency_counts, other.latency_counts)

    def plus(self, other: 'Tally') -> 'Tally':
        """Return the sum with another tally."""
        latency_counts = dict(self.latency_counts)
        add_counts(latency_counts, other.latency_counts)
        return Tally(
            calls=self.calls + other.calls,
            failures=self.failures + other.failures,
            refusals=self.refusals + other.refusals,
            latency_counts=latency_counts,
        )

    def count(self, outcome: str, latency_ms: float) -> None:
        """Count one call; `outcome` is ``ok``, ``failure``, ``refusal``."""
        self.calls += 1
        if outcome == 'ok':
            bucket = bucket_of(latency_ms)
            known = self.latency_counts.get(bucket, 0)
            self.latency_counts[bucket] = known + 1
        elif outcome == 'failure':
            self.failures += 1
        else:
            self.refusals += 1
