"""Counts of calls by outcome and latency."""

from typing import Final

from mustardspur_core.record import Record

from mustardspur_moves.histogram import add_counts, bucket_of


# Outcomes that count against a version whatever their latency is.
FAULTS: Final = frozenset(('failure', 'refusal'))


class OutcomeCounts(Record):
    """Counts of calls by their outcome.

    Parameters
    ----------
    calls, failures, refusals : int
        Number of all calls, of failed calls and of refused calls.
    latency_counts : dict of int
        Number of successful and abandoned calls by latency bucket. Failures
        and refusals are left out, since a fast error must not look like a
        fast answer.
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
        """Set the fields without `Record`, as each call may create counts."""
        self.calls = calls
        self.failures = failures
        self.refusals = refusals
        self.latency_counts = latency_counts

    @classmethod
    def empty(cls) -> 'OutcomeCounts':
        """Return counts of zero calls."""
        return cls(calls=0, failures=0, refusals=0, latency_counts={})

    def add(self, other: 'OutcomeCounts') -> None:
        """Add other counts to these, in place."""
        self.calls += other.calls
        self.failures += other.failures
        self.refusals += other.refusals
        add_counts(self.latency_counts, other.latency_counts)

    def plus(self, other: 'OutcomeCounts') -> 'OutcomeCounts':
        """Return the sum of these and other counts."""
        latency_counts = dict(self.latency_counts)
        add_counts(latency_counts, other.latency_counts)
        return OutcomeCounts(
            calls=self.calls + other.calls,
            failures=self.failures + other.failures,
            refusals=self.refusals + other.refusals,
            latency_counts=latency_counts,
        )

    def count(self, outcome: str, latency_ms: float) -> None:
        """Count one call.

        Parameters
        ----------
        outcome : str
            ``ok``, ``failure``, ``refusal`` or ``abandoned``.
        latency_ms : float
            Latency in milliseconds, not counted for `FAULTS`; of an abandoned
            call, the time for which its answer was awaited.
        """
        self.calls += 1
        if outcome == 'failure':
            self.failures += 1
        elif outcome == 'refusal':
            self.refusals += 1
        else:
            bucket = bucket_of(latency_ms)
            known = self.latency_counts.get(bucket, 0)
            self.latency_counts[bucket] = known + 1
