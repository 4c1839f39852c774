"""Promises that hold from an acknowledgement on: evacuations, cold, keys."""

import math
from collections.abc import Iterator
from typing import Final

from mustardspur_core.record import Record

from tests.platform.soak.accounts import (
    KEYS,
    WITHDRAWN_KEY,
    account_of,
    key_of,
)

COLD_PER_S: Final = 8.5
_COLD_BOUND: Final = COLD_PER_S * 1.5 + 8
# Time after the acknowledgement of an order from which it must be in force.
IN_FORCE_S: Final = 5.0


class Run(Record):
    """One run of a request at a target.

    Parameters
    ----------
    at_s : float
        Time of the run, on the clock of the event loop.
    request_id, host : str
        The request, and the node beside the target.
    """

    __slots__ = ('at_s', 'request_id', 'host')
    at_s: float
    request_id: str
    host: str


class Period(Record):
    """Time in which an order or the statement of a target holds.

    Parameters
    ----------
    hosts : tuple of str
        Nodes of the targets that it is about.
    from_s, until_s : float
        When it was acknowledged, and when it ends.
    """

    __slots__ = ('hosts', 'from_s', 'until_s')
    hosts: tuple[str, ...]
    from_s: float
    until_s: float


class PeriodLog:
    """Runs and the periods that they are checked for.

    Attributes
    ----------
    runs : list of Run
        All runs in the order of their start.
    evacuations, cold : list of Period
        Acknowledged evacuations; times of cold targets from their first
        statement on.
    withdrawn_s : float
        When the withdrawal of a key was acknowledged.
    withdrawing : bool
        Whether the withdrawal was sent.
    """

    __slots__ = ('cold', 'evacuations', 'runs', 'withdrawing', 'withdrawn_s')

    def __init__(self) -> None:
        """Initialise without runs."""
        self.runs: list[Run] = []
        self.evacuations: list[Period] = []
        self.cold: list[Period] = []
        self.withdrawing = False
        self.withdrawn_s = math.inf

    def in_force_s(self) -> float:
        """Return the time from which all orders must be in force."""
        acked = [each.from_s for each in self.evacuations]
        if self.withdrawing:
            acked.append(self.withdrawn_s)
        return max(acked, default=0) + IN_FORCE_S

    def checked(self) -> dict[str, float]:
        """Return for how long promises were checked, and how often."""
        last_s = self.runs[-1].at_s if self.runs else 0
        evacuated_s = [
            min(each.until_s, last_s) - each.from_s - IN_FORCE_S
            for each in self.evacuations
        ]
        return {
            'evacuated_s': round(sum(max(0, each) for each in evacuated_s), 1),
            'cold': len(self.cold),
            'withdrawn_s': round(
                max(0, last_s - self.withdrawn_s - IN_FORCE_S), 1
            ),
        }

    def findings(self) -> Iterator[str]:
        """Yield the broken promises, with the run that breaks each first."""
        for evacuation in self.evacuations:
            late = self._runs_in(evacuation, evacuation.from_s + IN_FORCE_S)
            if late:
                after_s = late[0].at_s - evacuation.from_s
                yield (
                    f'{len(late)} calls at evacuated {evacuation.hosts}, first '
                    f'{late[0]} {after_s:.2f} s after the acknowledgement'
                )
        for cold in self.cold:
            yield from self._cold_findings(cold)
        late = [
            run
            for run in self.runs
            if run.at_s > self.withdrawn_s + IN_FORCE_S
            and key_of(run.request_id) == WITHDRAWN_KEY
        ]
        if late:
            after_s = late[0].at_s - self.withdrawn_s
            yield (
                f'{len(late)} calls with a withdrawn key, first {late[0]} '
                f'{after_s:.2f} s after the acknowledgement'
            )

    def _cold_findings(self, cold: Period) -> Iterator[str]:
        times = [run.at_s for run in self._runs_in(cold, cold.from_s)]
        most, start_s = max(
            (sum(at <= each < at + 1 for each in times), at)
            for at in (*times, 0)
        )
        if most > _COLD_BOUND:
            after_s = start_s - cold.from_s
            yield (
                f'{most} calls in one second at cold {cold.hosts}, '
                f'{after_s:.2f} s after its statement, at {times}'
            )

    def _runs_in(self, period: Period, from_s: float) -> list[Run]:
        return [
            run
            for run in self.runs
            if run.host in period.hosts and from_s < run.at_s < period.until_s
        ]


def header_finding(request_id: str, account: str, head: str) -> str | None:
    """Return what is wrong with the account in the headers at a target."""
    if any(key in head for key in KEYS):
        return f'{request_id} showed a key to a target'
    if account != account_of(request_id):
        return f'{request_id} of {account_of(request_id)} ran as {account!r}'
    return None
