"""Limits of accounts and targets, calls that crash targets, and their checks.

The bounds are those of docs/hard-load.md; docs/design/allowances.md states the
times in which an account within its limit can be refused.
"""

import math
import time
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import starmap
from typing import Final

from mustardspur_core.record import Record

from tests.platform.soak.accounts import (
    LIMITS,
    LOWERED_PER_S,
    PACED_ACCOUNT,
    account_of,
)
from tests.platform.soak.windows import Period, Run

WINDOW_S: Final = 5.0
# A configuration is in force this time after its acknowledgement.
TABLE_IN_FORCE_S: Final = 2.5
# Part of a limit that an account uses typically.
TYPICAL_PART: Final = 0.62
# Part of a limit below which an account needs no share by demand: each of three
# instances has 0.2 / 3.
_SMALL_PART: Final = 0.05
# After a fault of a process, shares and the tokens of nodes follow.
_SETTLED_S: Final = 5.0
# Time after which an answer has been read by the node, on a busy machine.
_STATED_S: Final = 0.5
SLOTS: Final = 4
# Targets that a call ends: three until it is blocked, three while that spreads.
MAX_CRASHES: Final = 6


class StatedPeriod(Record):
    """Time in which a target states a rate limit."""

    __slots__ = ('host', 'per_s', 'from_s', 'until_s')
    host: str
    per_s: float
    from_s: float
    until_s: float


class LimitLog:
    """Calls of accounts, and the limits that they are checked for.

    Attributes
    ----------
    heat : float
        Multiple of its typical use that the paced account calls with.
    lowered : bool
        Whether edits state the lowered limit of that account.
    lowered_periods : list of Period
        Times from the acknowledgement of a lowered limit on, until an edit
        that raises it is sent.
    lowered_in_force : list of Period
        Times in which the lowered limit may be in force: from the first edit
        that states it until one that raises it is acknowledged, which can be
        seconds after it is first sent.
    stated : list of StatedPeriod
        Times in which targets state a rate limit.
    disturbed : list of Period
        Times in which a process is not available.
    broker_starts_s : list of float
        Starts of control instances, whose buckets are empty.
    crashes : Counter
        Targets that each call has ended.
    """

    def __init__(self) -> None:
        """Initialise without calls."""
        self.heat: float = 1
        self.lowered = False
        self.lowered_periods: list[Period] = []
        self.lowered_in_force: list[Period] = []
        self.stated: list[StatedPeriod] = []
        self.disturbed: list[Period] = []
        self.broker_starts_s: list[float] = []
        self.crashes: Counter[str] = Counter()
        self._sent_s: defaultdict[str, list[float]] = defaultdict(list)
        self._refused_s: list[tuple[str, float]] = []

    def record_sent(self, request_id: str) -> None:
        """Record that a caller sends a call."""
        self._sent_s[account_of(request_id)].append(time.monotonic())

    def record_refused(self, request_id: str) -> None:
        """Record that a call was refused for the limit of its account."""
        self._refused_s.append((account_of(request_id), time.monotonic()))

    def record_acked(self, *, lowered: bool) -> None:
        """Record that an edit was acknowledged."""
        periods = self.lowered_periods
        if lowered and not (periods and periods[-1].until_s == math.inf):
            periods.append(
                Period(hosts=(), from_s=time.monotonic(), until_s=math.inf),
            )

    def record_in_force(self, *, lowered: bool) -> None:
        """Record which limit is, or may be, in force."""
        periods = self.lowered_in_force
        is_open = periods and periods[-1].until_s == math.inf
        if lowered and not is_open:
            periods.append(
                Period(hosts=(), from_s=time.monotonic(), until_s=math.inf),
            )
        elif is_open and not lowered:
            periods[-1].until_s = time.monotonic()

    def raise_limit(self) -> None:
        """Let all further edits state the usual limit."""
        self.lowered = False
        self.lowered_periods[-1].until_s = time.monotonic()

    @contextmanager
    def disturbing(self) -> Iterator[None]:
        """Record the time of a block as one in which a process is missing."""
        period = Period(hosts=(), from_s=time.monotonic(), until_s=math.inf)
        self.disturbed.append(period)
        try:
            yield
        finally:
            period.until_s = time.monotonic()

    def checked(self) -> dict[str, float]:
        """Return what was checked, and how much of it."""
        lowered_s = [
            each.until_s - each.from_s - TABLE_IN_FORCE_S
            for each in self.lowered_periods
            if each.until_s < math.inf
        ]
        return {
            'lowered_s': round(sum(lowered_s), 1),
            'stated': len(self.stated),
            'crashes': sum(self.crashes.values()),
            'refused': len(self._refused_s),
        }

    def findings(self, runs: list[Run]) -> Iterator[str]:
        """Yield the broken promises."""
        yield from self._account_findings(runs)
        for stated in self.stated:
            yield from _stated_findings(stated, runs)
        for call, count in self.crashes.items():
            if count > MAX_CRASHES:
                yield f'{call} ended {count} targets'
        wrong = list(filter(None, starmap(self._refusal, self._refused_s)))
        if wrong:
            yield f'{len(wrong)} calls within a limit refused, first {wrong[0]}'

    def _account_findings(self, runs: list[Run]) -> Iterator[str]:
        times = _first_runs(runs)
        for account, per_s in LIMITS.items():
            yield from _window_findings(account, times[account], per_s)
        paced_s = sorted(times[PACED_ACCOUNT])
        for lowered in self.lowered_periods:
            first = bisect_right(paced_s, lowered.from_s + TABLE_IN_FORCE_S)
            last = bisect_left(paced_s, lowered.until_s)
            yield from _window_findings(
                f'lowered {PACED_ACCOUNT}',
                paced_s[first:last],
                LOWERED_PER_S,
            )

    def _refusal(self, account: str, at_s: float) -> str | None:
        """Describe the refusal of an account that was within its limit."""
        limit = LIMITS[account]
        sent_s = self._sent_s[account]
        in_window = _count(sent_s, at_s - WINDOW_S, at_s)
        in_second = _count(sent_s, at_s - 1, at_s)
        if in_window > TYPICAL_PART * limit * WINDOW_S:
            return None
        if in_second > TYPICAL_PART * limit or self._is_excused(
            account, at_s, in_second <= _SMALL_PART * limit
        ):
            return None
        return (
            f'of {account} at {at_s:.2f} after {in_window} calls in '
            f'{WINDOW_S} s and {in_second} in one, limit {limit}'
        )

    def _is_excused(self, account: str, at_s: float, is_small: bool) -> bool:
        started = any(
            start_s < at_s < start_s + _SETTLED_S
            for start_s in self.broker_starts_s
        )
        if started:
            return True
        periods = [] if is_small else self.disturbed.copy()
        if account == PACED_ACCOUNT:
            periods.extend(self.lowered_in_force)
        return any(
            each.from_s <= at_s < each.until_s + _SETTLED_S for each in periods
        )


def _first_runs(runs: list[Run]) -> defaultdict[str, list[float]]:
    """Return the times of the first runs of calls, by account."""
    first_s: dict[str, float] = {}
    for run in runs:
        first_s.setdefault(run.request_id, run.at_s)
    times: defaultdict[str, list[float]] = defaultdict(list)
    for request_id, at_s in first_s.items():
        times[account_of(request_id)].append(at_s)
    return times


def _window_findings(
    account: str,
    times_s: list[float],
    per_s: float,
) -> Iterator[str]:
    """Yield a finding if calls exceed a limit with a burst of one second."""
    bound = (per_s * WINDOW_S + per_s) * 1.1 + 20
    most, start_s = most_within(times_s, WINDOW_S)
    if most > bound:
        yield (
            f'{most} calls of {account} within {WINDOW_S} s from '
            f'{start_s:.2f}, at most {bound:.0f}'
        )


def _stated_findings(
    stated: StatedPeriod, runs: Iterable[Run]
) -> Iterator[str]:
    times_s = [
        run.at_s
        for run in runs
        if run.host == stated.host
        and stated.from_s + _STATED_S < run.at_s < stated.until_s
    ]
    # A quarter of a second's calls may follow each other at once, and calls
    # that were admitted may arrive late, one for each slot.
    bound = stated.per_s * 1.25 + 1 + SLOTS
    most, start_s = most_within(times_s, 1)
    if most > bound:
        yield (
            f'{most} calls within a second from {start_s:.2f} at {stated}, '
            f'at most {bound:.0f}'
        )


def most_within(times_s: list[float], length_s: float) -> tuple[int, float]:
    """Return the most times within a window, and the start of the window."""
    ordered = sorted(times_s)
    return max(
        (
            (_count(ordered, start_s, start_s + length_s), start_s)
            for start_s in ordered
        ),
        default=(0, 0),
    )


def _count(ordered: list[float], from_s: float, until_s: float) -> int:
    return bisect_right(ordered, until_s) - bisect_left(ordered, from_s)
