"""Counts of both versions that can be compared with each other."""

from collections.abc import Iterator
from functools import lru_cache
from typing import Final, NamedTuple

from mustardspur_core.record import Record

from mustardspur_moves.evidence import CellKey, Cells
from mustardspur_moves.histogram import add_counts, bucket_of_top, count_from
from mustardspur_moves.tally import Tally

FAILURES: Final = 'failures'
REFUSALS: Final = 'refusals'
SLOW: Final = 'slow calls'
KINDS: Final = (FAILURES, REFUSALS, SLOW)
# The share of calls of both versions together that counts as slow. A lower
# share leaves no slow call in a slot with few calls.
SLOW_SHARE: Final = 0.15


class Scope(NamedTuple):
    """The part of the calls that a statistic is about."""

    dimension: str
    name: str


EVERYWHERE: Final = Scope('all', '')


class Comparison(Record):
    """Which counts are compared.

    Parameters
    ----------
    from_version, to_version : str
        Old and new version.
    warm_windows : dict of int
        First window in which a new target counts as warm, by target.
    without_target : str
        A target that is left out, empty for none.
    """

    __slots__ = (
        'from_version',
        'to_version',
        'warm_windows',
        'without_target',
    )
    from_version: str
    to_version: str
    warm_windows: dict[str, int]
    without_target: str

    def is_new(self, key: CellKey) -> bool:
        """Return whether a cell belongs to the new version."""
        return key.version == self.to_version

    def uses(self, key: CellKey) -> bool:
        """Return whether a cell takes part at all."""
        if key.target == self.without_target:
            return False
        return key.version in {self.from_version, self.to_version}

    def is_cold(self, key: CellKey, window: int) -> bool:
        """Return whether a cell's target may still be slow from its start."""
        return self.is_new(key) and window < self.warm_windows[key.target]


# Cells whose scopes are kept; a service has far fewer.
KEPT_SCOPES: Final = 10_000
# Above this ratio of calls per target, a slower new version may be a busier
# one.
LOAD_RATIO: Final = 1.5


class Trial(NamedTuple):
    """Events of one kind in one stratum.

    Attributes
    ----------
    kind : str
        One of `KINDS`.
    scopes : tuple of Scope
        Scopes that the stratum belongs to.
    new_events, events : int
        Events of the new version and of both.
    new_calls, calls : int
        Calls of the new version and of both.
    new_is_loaded : bool
        Whether a new target got far more calls than an old one.
    """

    kind: str
    scopes: tuple[Scope, ...]
    new_events: int
    events: int
    new_calls: int
    calls: int
    new_is_loaded: bool


class _Stratum:
    """Events and calls by kind, of the old and of the new version."""

    __slots__ = ('events', 'calls', 'targets')

    def __init__(self) -> None:
        self.events = ([0, 0, 0], [0, 0, 0])
        self.calls = ([0, 0, 0], [0, 0, 0])
        self.targets: tuple[set[str], set[str]] = (set(), set())

    def add(
        self,
        side: bool,
        target: str,
        events: tuple[int, ...],
        calls: tuple[int, ...],
    ) -> None:
        """Add a cell of the old (False) or of the new version (True)."""
        self.targets[side].add(target)
        side_events, side_calls = self.events[side], self.calls[side]
        for place, count in enumerate(events):
            side_events[place] += count
            side_calls[place] += calls[place]

    def trials(self, scopes: tuple[Scope, ...]) -> Iterator[Trial]:
        """Return the trials that have events."""
        old_targets, new_targets = map(len, self.targets)
        for place, kind in enumerate(KINDS):
            old_events, new_events = (side[place] for side in self.events)
            if old_events + new_events:
                old_calls, new_calls = (side[place] for side in self.calls)
                yield Trial(
                    kind,
                    scopes,
                    new_events,
                    old_events + new_events,
                    new_calls,
                    old_calls + new_calls,
                    new_calls * old_targets
                    > LOAD_RATIO * old_calls * new_targets,
                )


def trials_of(
    cells: Cells,
    window: int,
    comparison: Comparison,
    slow_buckets: dict[str, int],
) -> Iterator[Trial]:
    """Build the trials of a slot.

    Parameters
    ----------
    cells : dict of Tally
        Counts of the slot.
    window : int
        Time window of the slot.
    comparison : Comparison
        What is compared.
    slow_buckets : dict of int
        Lowest bucket of a slow call, by route.
    """
    strata: dict[tuple[Scope, ...], _Stratum] = {}
    for key, tally in cells.items():
        if comparison.uses(key):
            scopes = _scopes_of(key)
            stratum = strata.get(scopes)
            if stratum is None:
                stratum = strata.setdefault(scopes, _Stratum())
            events, calls = _events_of(tally, slow_buckets[key.route])
            if comparison.is_cold(key, window):
                # A target may be slow from its start, but it may not fail.
                events, calls = events[:1], calls[:1]
            stratum.add(comparison.is_new(key), key.target, events, calls)
    for scopes, stratum in strata.items():
        yield from stratum.trials(scopes)


def slow_buckets_of(
    cells: Cells,
    comparison: Comparison,
    reference: dict[str, dict[int, int]],
) -> dict[str, int]:
    """Return from which bucket a call counts as slow, by route.

    Explanation
    ===========

    The bound comes from the calls of both versions together, so that it
    does not depend on which version was slow, and is never below the bound
    of the old version under its full load.
    """
    pooled: dict[str, dict[int, int]] = {}
    for key, tally in cells.items():
        if comparison.uses(key):
            counts = pooled.setdefault(key.route, {})
            add_counts(counts, tally.latency_counts)
    return {
        route: max(
            bucket_of_top(counts, SLOW_SHARE),
            bucket_of_top(reference.get(route, {}), SLOW_SHARE),
        )
        for route, counts in pooled.items()
    }


@lru_cache(maxsize=KEPT_SCOPES)
def _scopes_of(key: CellKey) -> tuple[Scope, ...]:
    return (
        EVERYWHERE,
        Scope('route', key.route),
        Scope('data centre', key.data_centre),
        Scope('caller', key.caller),
    )


def _events_of(
    tally: Tally,
    slow_from: int,
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return events and calls in the order of `KINDS`."""
    counts = tally.latency_counts
    return (
        (tally.failures, tally.refusals, count_from(counts, slow_from)),
        (tally.calls, tally.calls, sum(counts.values())),
    )
