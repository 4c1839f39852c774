"""Judgement of a new version by the calls that it has answered."""

from typing import Final

from mustardspur_core.record import Record

from mustardspur_control.mesh.evidence import ZERO, Counts, Totals

# Fewer failures than this can be chance on any version.
MIN_FAILED: Final = 4
# Failures on a route that the other version has not answered yet may come
# from the route itself, so more of them are needed.
MIN_OTHER_RUNS: Final = 5
MIN_FAILED_ALONE: Final = 15
# A version fails if its rate of failures is above this and above a multiple
# of the other version's.
MIN_FAILURE_RATE: Final = 0.12
FAILURE_RATIO: Final = 2.5
# Fewer timed runs than this say little about the mean of a skewed time.
MIN_TIMED: Final = 15
# Targets of one version differ in speed by up to three times, a version that
# is slow by more than that.
SLOW_RATIO: Final = 2.8
# Differences below this are noise of a loaded machine.
MIN_SLOWER_MS: Final = 20.0


class Verdict(Record):
    """What the evidence says of a version.

    Parameters
    ----------
    bad : bool
        Whether it is to be rolled back.
    reason : str
        Route and figures for the log, empty if nothing was found.
    runs : int
        Answered calls of the new version.
    """

    __slots__ = ('bad', 'reason', 'runs')
    bad: bool
    reason: str
    runs: int


def judge(totals: Totals, version: str) -> Verdict:
    """Judge a version against the other ones, route by route.

    Parameters
    ----------
    totals : dict
        Counts by version and route.
    version : str
        The new version.
    """
    routes = sorted({route for _, route in totals})
    runs = 0
    reason = ''
    for route in routes:
        new = totals.get((version, route), ZERO)
        old = _others(totals, version, route)
        runs += new[0]
        reason = reason or _fault(route, new, old)
    return Verdict(bad=bool(reason), reason=reason, runs=runs)


def _others(totals: Totals, version: str, route: str) -> Counts:
    rows = [
        counts
        for (other, name), counts in totals.items()
        if name == route and other != version
    ]
    return (
        sum(row[0] for row in rows),
        sum(row[1] for row in rows),
        sum(row[2] for row in rows),
        sum(row[3] for row in rows),
    )


def _fault(route: str, new: Counts, old: Counts) -> str:
    rate = new[1] / max(new[0], 1)
    old_rate = old[1] / max(old[0], 1)
    limit = max(MIN_FAILURE_RATE, FAILURE_RATIO * old_rate)
    needed = MIN_FAILED if old[0] >= MIN_OTHER_RUNS else MIN_FAILED_ALONE
    if new[1] >= needed and rate > limit:
        return f'{route}: {new[1]} of {new[0]} failed, others {old_rate:.3f}'
    if min(new[2], old[2]) < MIN_TIMED:
        return ''
    mean = new[3] / new[2]
    old_mean = old[3] / old[2]
    if mean > max(SLOW_RATIO * old_mean, old_mean + MIN_SLOWER_MS):
        return f'{route}: {mean:.0f} ms a run, others {old_mean:.0f} ms'
    return ''
