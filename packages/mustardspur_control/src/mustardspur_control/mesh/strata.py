"""Strata of the runs of a service during a transfer."""

from collections import deque
from typing import Final, NamedTuple

from mustardspur_control.mesh.comparison import Comparison, compare
from mustardspur_control.mesh.evidence import (
    WINDOW_S,
    RunTotals,
    Totals,
)

# Length of a stratum, in which each node reports several times.
STRATUM_S: Final = 1.0

ComparisonsByRoute = dict[str, Comparison]


class _Closed(NamedTuple):
    """A stratum and the time of its end."""

    ended_s: float
    comparison: Comparison


class RouteStrata:
    """Strata of a route; those older than `WINDOW_S` are kept as their sum.

    A stratum ends after `STRATUM_S` or with a change of the share, but not
    before the other versions have had enough runs in it to compare with. The
    last one at the full share therefore stays open and shows nothing. After a
    change of the leader, all earlier runs are in the first stratum.
    """

    __slots__ = (
        '_base',
        '_closed',
        '_open',
        '_opened_s',
        '_share',
        '_sum_of_older',
    )

    def __init__(self, now_s: float, share: float) -> None:
        """Initialise with an open stratum without runs."""
        self._base: Totals = {}
        self._open: Comparison | None = None
        self._opened_s = now_s
        self._share = share
        self._closed: deque[_Closed] = deque()
        self._sum_of_older = Comparison()

    def observe(
        self, now_s: float, counts: Totals, version: str, share: float
    ) -> None:
        """Compare the counts since the last stratum, and end this one if due.

        Parameters
        ----------
        now_s : float
            Time of the counts.
        counts : dict of RunTotals
            Runs of the route since the start of the transfer.
        version : str
            The new version.
        share : float
            Share of the new version.
        """
        self._open = compare(
            {
                key: _since(self._base.get(key), runs)
                for key, runs in counts.items()
            },
            version,
            self._earlier_others(),
        )
        is_due = share != self._share or now_s - self._opened_s >= STRATUM_S
        if is_due and self._open is not None:
            self._closed.append(_Closed(now_s, self._open))
            self._open = None
            self._base = counts
            self._opened_s = now_s
            self._share = share
        while self._closed and self._closed[0].ended_s <= now_s - WINDOW_S:
            self._sum_of_older.add(self._closed.popleft().comparison)

    @property
    def is_compared(self) -> bool:
        """Whether the other versions had runs to compare with."""
        return bool(
            self._open or self._closed or self._sum_of_older.others.runs
        )

    def recent(self) -> Comparison:
        """Return the sum of the strata of the last `WINDOW_S`."""
        total = Comparison()
        for closed in self._closed:
            total.add(closed.comparison)
        if self._open is not None:
            total.add(self._open)
        return total

    def overall(self) -> Comparison:
        """Return the sum of all strata."""
        total = self.recent()
        total.add(self._sum_of_older)
        return total

    def _earlier_others(self) -> RunTotals:
        """Return earlier runs of other versions whose latencies count.

        Of the runs in flight at the step to the full share, the longest end
        last, and their latencies alone would hide a slow version. The first
        strata of the new version have too few runs of the others for the
        distribution, so that those before its first run count as well.
        """
        others = RunTotals()
        last_s = self._opened_s - STRATUM_S
        for closed in self._closed:
            is_before_full = self._share >= 1 and closed.ended_s > last_s
            if is_before_full or not closed.comparison.new.runs:
                others.add(closed.comparison.others)
        return others


class ServiceStrata:
    """Strata of the routes of a service during one transfer.

    Parameters
    ----------
    version : str
        The new version.
    """

    __slots__ = ('_by_route', '_version')

    def __init__(self, version: str) -> None:
        """Initialise without runs."""
        self._version = version
        self._by_route: dict[str, RouteStrata] = {}

    def observe(self, now_s: float, totals: Totals, share: float) -> None:
        """Add the counts of all routes since the start of the transfer."""
        counts_by_route: dict[str, Totals] = {}
        for key, counts in totals.items():
            counts_by_route.setdefault(key.route, {})[key] = counts
        for route, route_counts in counts_by_route.items():
            strata = self._by_route.get(route)
            if strata is None:
                strata = RouteStrata(now_s, share)
                self._by_route[route] = strata
            strata.observe(now_s, route_counts, self._version, share)

    def recent(self) -> ComparisonsByRoute:
        """Return the comparisons of the last `WINDOW_S` by route.

        Routes that the other versions have had no calls of are left out.
        """
        return {
            route: strata.recent()
            for route, strata in self._by_route.items()
            if strata.is_compared
        }

    def overall(self) -> ComparisonsByRoute:
        """Return the comparisons since the start of the transfer by route.

        Routes that the other versions have had no calls of are left out.
        """
        return {
            route: strata.overall()
            for route, strata in self._by_route.items()
            if strata.is_compared
        }


def _since(before: RunTotals | None, counts: RunTotals) -> RunTotals:
    """Return the counts since earlier ones, all if a node began again."""
    if before is None or counts.runs < before.runs:
        return counts
    return counts.minus(before)
