"""Strata within which the two versions of a move are compared."""

from collections.abc import Iterator
from functools import lru_cache
from typing import Final, NamedTuple

from mustardspur_core.record import Record

from mustardspur_moves.evidence import CellKey, Cells
from mustardspur_moves.histogram import add_counts, count_from, top_share_bucket
from mustardspur_moves.outcome_counts import OutcomeCounts

FAILURES: Final = 'failures'
REFUSALS: Final = 'refusals'
SLOW: Final = 'slow calls'
KINDS: Final = (FAILURES, REFUSALS, SLOW)
# Largest share of the calls of both versions together that counts as slow. With
# a smaller share, a slot with few calls has no slow call.
SLOW_SHARE: Final = 0.15


class Scope(NamedTuple):
    """Part of the calls that a statistic covers."""

    dimension: str
    name: str


EVERYWHERE: Final = Scope('all', '')


class CellSelection(Record):
    """Selection of the cells that are compared.

    Parameters
    ----------
    from_version, to_version : str
        Old and new version.
    warm_windows : dict of int
        First window after the cold start, by target of the new version.
    without_target : str
        Target that is left out, empty for none.
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
        """Return whether a cell counts calls of the new version."""
        return key.version == self.to_version

    def includes(self, key: CellKey) -> bool:
        """Return whether a cell is compared."""
        if key.target == self.without_target:
            return False
        return key.version in {self.from_version, self.to_version}

    def is_cold(self, key: CellKey, window: int) -> bool:
        """Return whether a cell's target is in its cold start."""
        return self.is_new(key) and window < self.warm_windows[key.target]


# Number of cells whose scopes are cached, far more than a service has.
SCOPE_CACHE_SIZE: Final = 10_000
# Ratio of calls per target above which a new version may be slower because
# its targets are more loaded.
LOAD_RATIO: Final = 1.5


class Trial(NamedTuple):
    """Events of one kind in one stratum of a slot.

    Attributes
    ----------
    kind : str
        One of `KINDS`.
    scopes : tuple of Scope
        Scopes that the stratum contributes to.
    new_events, events : int
        Events of the new version and of both versions.
    new_calls, calls : int
        Calls of the new version and of both versions.
    new_is_loaded : bool
        Whether new targets got more than `LOAD_RATIO` times the calls of
        old targets, on average.
    """

    kind: str
    scopes: tuple[Scope, ...]
    new_events: int
    events: int
    new_calls: int
    calls: int
    new_is_loaded: bool


class _Stratum:
    """Events, calls and targets of the old and of the new version.

    Pairs are in the order old, new; counts are in the order of `KINDS`.
    """

    __slots__ = ('calls', 'events', 'targets')

    def __init__(self) -> None:
        self.events = ([0, 0, 0], [0, 0, 0])
        self.calls = ([0, 0, 0], [0, 0, 0])
        self.targets: tuple[set[str], set[str]] = (set(), set())

    def add(
        self,
        is_new: bool,
        target: str,
        events: tuple[int, ...],
        calls: tuple[int, ...],
    ) -> None:
        """Add a cell of the old or of the new version."""
        self.targets[is_new].add(target)
        version_events, version_calls = self.events[is_new], self.calls[is_new]
        for index, count in enumerate(events):
            version_events[index] += count
            version_calls[index] += calls[index]

    def trials(self, scopes: tuple[Scope, ...]) -> Iterator[Trial]:
        """Yield a trial for each kind that has events."""
        old_targets, new_targets = map(len, self.targets)
        for index, kind in enumerate(KINDS):
            old_events, new_events = (counts[index] for counts in self.events)
            if old_events + new_events:
                old_calls, new_calls = (counts[index] for counts in self.calls)
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


def build_trials(
    cells: Cells,
    window: int,
    selection: CellSelection,
    slow_buckets: dict[str, int],
) -> Iterator[Trial]:
    """Yield the trials of a slot, one for each stratum and kind of event.

    Parameters
    ----------
    cells : dict of OutcomeCounts
        Counts of the slot by cell.
    window : int
        Time window of the slot.
    selection : CellSelection
        Cells that are compared.
    slow_buckets : dict of int
        Lowest latency bucket of a slow call, by route.
    """
    strata: dict[tuple[Scope, ...], _Stratum] = {}
    for key, cell_counts in cells.items():
        if selection.includes(key):
            scopes = _scopes_of(key)
            stratum = strata.get(scopes)
            if stratum is None:
                stratum = strata.setdefault(scopes, _Stratum())
            events, calls = _event_counts(cell_counts, slow_buckets[key.route])
            if selection.is_cold(key, window):
                # During its cold start a target may be slow or refuse calls,
                # but it must not fail.
                events, calls = events[:1], calls[:1]
            stratum.add(selection.is_new(key), key.target, events, calls)
    for scopes, stratum in strata.items():
        yield from stratum.trials(scopes)


def find_slow_buckets(
    cells: Cells,
    selection: CellSelection,
    reference: dict[str, dict[int, int]],
) -> dict[str, int]:
    """Return the lowest latency bucket of a slow call, by route.

    Explanation
    ===========

    The bound is derived from the calls of both versions together, so it does
    not depend on which version was slow. It is never below the bound of the
    old version under full load.
    """
    counts_by_route: dict[str, dict[int, int]] = {}
    for key, cell_counts in cells.items():
        if selection.includes(key):
            counts = counts_by_route.setdefault(key.route, {})
            add_counts(counts, cell_counts.latency_counts)
    return {
        route: max(
            top_share_bucket(counts, SLOW_SHARE),
            top_share_bucket(reference.get(route, {}), SLOW_SHARE),
        )
        for route, counts in counts_by_route.items()
    }


@lru_cache(maxsize=SCOPE_CACHE_SIZE)
def _scopes_of(key: CellKey) -> tuple[Scope, ...]:
    return (
        EVERYWHERE,
        Scope('route', key.route),
        Scope('data centre', key.data_centre),
        Scope('caller', key.caller),
    )


def _event_counts(
    cell_counts: OutcomeCounts,
    slow_from: int,
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the numbers of events and of calls, in the order of `KINDS`."""
    counts = cell_counts.latency_counts
    return (
        (
            cell_counts.failures,
            cell_counts.refusals,
            count_from(counts, slow_from),
        ),
        (cell_counts.calls, cell_counts.calls, sum(counts.values())),
    )
