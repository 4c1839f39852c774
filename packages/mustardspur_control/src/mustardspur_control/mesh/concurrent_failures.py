"""Failures of a version that the other versions' runs let expect.

While the share of a new version rises, most of its runs are later than those
of the others. Sums over a transfer then compare different moments, and a
disruption of all versions looks like a fault of the new one. Here each run of
the new version is compared with the runs of the others that became known at
that time.
"""

from collections import defaultdict, deque
from typing import Final, NamedTuple

from mustardspur_control.mesh.evidence import WINDOW_S, Totals

# Runs of the other versions since the last moment from which on the failure
# rate is theirs alone. A disruption that begins shows at once then.
MIN_RUNS_SINCE_LAST: Final = 5
# Runs of the other versions that the rate is taken from otherwise.
MIN_OTHER_RUNS: Final = 20


class _RouteSums:
    """Counts of a route since the start of a transfer, and what they imply.

    Attributes
    ----------
    runs : int
        Runs of the new version.
    other_runs, other_failed : int
        Runs of the other versions, and how many of them failed.
    expected : float
        Failures of the new version at the rates of the others.
    """

    __slots__ = ('expected', 'other_failed', 'other_runs', 'runs')

    def __init__(self) -> None:
        self.runs = 0
        self.other_runs = 0
        self.other_failed = 0
        self.expected: float = 0


_SumsByRoute = dict[str, _RouteSums]


class _Moment(NamedTuple):
    """Counts that were known at a time, in seconds."""

    at_s: float
    sums_by_route: _SumsByRoute


class ConcurrentFailures:
    """Expected failures of the new version of a transfer, by route.

    Parameters
    ----------
    version : str
        The new version.
    """

    __slots__ = ('_moments', '_rate_by_route', '_rated_s', '_version')

    def __init__(self, version: str) -> None:
        """Initialise without a moment."""
        self._version = version
        self._moments: deque[_Moment] = deque()
        # The latest failure rate of the other versions.
        self._rate_by_route: defaultdict[str, float] = defaultdict(float)
        # When it was taken, by route.
        self._rated_s: dict[str, float] = {}

    def overall(self) -> dict[str, float]:
        """Return the expected failures by route since the first moment."""
        return self._expected_since({})

    def recent(self) -> dict[str, float]:
        """Return the expected failures by route within `WINDOW_S`."""
        return self._expected_since(self._moments[0].sums_by_route)

    def observe(self, now_s: float, totals: Totals) -> None:
        """Add the counts that are known at a moment.

        Parameters
        ----------
        now_s : float
            Time of the moment in seconds.
        totals : dict of RunTotals
            Counts since the start of the transfer.
        """
        sums_by_route = self._sum(totals)
        self._forget_rates(now_s - WINDOW_S)
        latest = self._moments[-1].sums_by_route if self._moments else {}
        for route in latest.keys() & sums_by_route.keys():
            self._expect(route, sums_by_route[route], latest[route], now_s)
        self._moments.append(_Moment(now_s, sums_by_route))
        while len(self._moments) > 1 and (
            self._moments[1].at_s <= now_s - WINDOW_S
        ):
            self._moments.popleft()

    def _forget_rates(self, before_s: float) -> None:
        """Forget old rates: what the others met may be over since then."""
        for route, rated_s in list(self._rated_s.items()):
            if rated_s < before_s:
                self._rate_by_route.pop(route)
                self._rated_s.pop(route)

    def _expected_since(self, before: _SumsByRoute) -> dict[str, float]:
        nothing = _RouteSums()
        expected_by_route = {}
        for route, sums in self._moments[-1].sums_by_route.items():
            former = before.get(route, nothing)
            # The first failures of a disruption raise the rate of a moment
            # later than those of the new version are counted.
            current = (sums.runs - former.runs) * self._rate_by_route[route]
            concurrent = sums.expected - former.expected
            expected_by_route[route] = max(concurrent, current)
        return expected_by_route

    def _sum(self, totals: Totals) -> _SumsByRoute:
        sums_by_route: _SumsByRoute = {}
        for key, counts in totals.items():
            sums = sums_by_route.setdefault(key.route, _RouteSums())
            if key.version == self._version:
                sums.runs += counts.runs
            else:
                sums.other_runs += counts.runs
                sums.other_failed += counts.failed
        return sums_by_route

    def _expect(
        self, route: str, sums: _RouteSums, before: _RouteSums, now_s: float
    ) -> None:
        """Add the expected failures of the runs since the last moment."""
        # Reports with damaged counts may be replaced by smaller ones.
        runs = max(sums.runs - before.runs, 0)
        sums.expected = before.expected + runs * self._rate(route, sums, now_s)

    def _rate(self, route: str, sums: _RouteSums, now_s: float) -> float:
        """Return the failure rate of the latest runs of other versions.

        If there are too few, it is the latest one that is known and at most
        `WINDOW_S` old, otherwise 0.
        """
        min_runs = MIN_RUNS_SINCE_LAST
        for moment in reversed(self._moments):
            if route not in moment.sums_by_route:
                break
            before = moment.sums_by_route[route]
            runs = sums.other_runs - before.other_runs
            if runs >= min_runs:
                failed = sums.other_failed - before.other_failed
                self._rate_by_route[route] = max(failed, 0) / runs
                self._rated_s[route] = now_s
                break
            min_runs = MIN_OTHER_RUNS
        return self._rate_by_route[route]
