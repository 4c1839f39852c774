"""A service whose calls are sent to targets of two versions."""

import asyncio
import math
import random
from collections import defaultdict
from typing import Final

from mustardspur_core.units import MS_PER_S
from mustardspur_node.mesh.transfer_evidence import TransferEvidence

from benchmarks.transfers.faults import Fault, Run
from benchmarks.transfers.loads import Load

SERVICE: Final = 'forms'
OLD_VERSION: Final = 'v1'
NEW_VERSION: Final = 'v2'
# Targets of each version.
TARGETS: Final = 7
CALLS_PER_S: Final = 305.0
# Part of the calls on each route.
ROUTES: Final = ('drafts', 'filings')
ROUTE_WEIGHTS: Final = (0.73, 0.27)
# Part of the calls that are of the small class.
SMALL_CLASS: Final = 0.2
MEDIAN_RUN_MS: Final = 90.0
# Spread of the logarithm of the run times.
SPREAD: Final = 0.75
DEADLINE_MS: Final = 1500.0
# Part of the runs that fail while both versions are disrupted.
DISRUPTED_PART: Final = 0.3
_MAX_TARGETS: Final = 99
_Place = tuple[str, int]


class Service:
    """Runs calls at targets of both versions, and counts their outcomes.

    Parameters
    ----------
    seed : int
        Seed of the random draws.
    fault : Fault
        Fault of the new version.
    load : Load
        Rates of calls and capacity of the targets.

    Attributes
    ----------
    share : float
        Part of the calls that are sent to the new version.
    evidence_by_place : dict of TransferEvidence
        Counts of the node of each target that has started, by version and
        number.
    failing_from_s : float
        Time from which on a part of the runs of both versions fails.
    calls, new_calls : int
        Calls to the service, and those of them that were sent to the new
        version.
    refused : int
        Calls that a full target refused.
    old_in_flight : int
        Runs at the old version that have not ended.
    """

    def __init__(self, seed: int, fault: Fault, load: Load) -> None:
        """Initialise without targets and calls."""
        self._random = random.Random(seed)
        # Apart, so that a new property of calls leaves the other draws.
        self._classes = random.Random(f'classes {seed}')
        self._fault = fault
        self._load = load
        self._speeds = [
            self._random.uniform(0.7, 1.4) for _ in range(_MAX_TARGETS)
        ]
        self._in_flight: defaultdict[_Place, int] = defaultdict(int)
        self.share: float = 0
        self.evidence_by_place: dict[_Place, TransferEvidence] = {}
        self.failing_from_s = math.inf
        self.calls = 0
        self.new_calls = 0
        self.refused = 0
        self.old_in_flight = 0

    async def call(self, until_s: float) -> None:
        """Send calls until a time."""
        while _now() < until_s:
            rate = CALLS_PER_S * self._load.factor(_now())
            await asyncio.sleep(self._random.expovariate(rate))
            self._start_run()

    def _start_run(self) -> None:
        self.calls += 1
        is_new = self._random.random() < self.share
        number = self._random.randrange(TARGETS)
        route = self._random.choices(ROUTES, weights=ROUTE_WEIGHTS)[0]
        speed = self._speeds[number + TARGETS * is_new]
        run = Run(
            speed * MEDIAN_RUN_MS * math.exp(self._random.gauss(0, SPREAD)),
            route=route,
            at_s=_now(),
            new_rate=self.share * self._load.factor(_now()),
            is_small_class=self._classes.random() < SMALL_CLASS,
        )
        if is_new:
            self.new_calls += 1
            self._fault.apply(run, self._random, number)
        is_disrupted = _now() >= self.failing_from_s
        if is_disrupted and self._random.random() < DISRUPTED_PART:
            run.failed = True
        self._admit(run, (NEW_VERSION if is_new else OLD_VERSION, number))

    def _admit(self, run: Run, place: _Place) -> None:
        if self._load.is_full(self._in_flight[place]):
            self.refused += 1
            return
        self._in_flight[place] += 1
        self.old_in_flight += place[0] == OLD_VERSION
        run.run_ms *= self._load.slowdown(self._in_flight[place])
        asyncio.get_running_loop().call_later(
            min(run.run_ms, DEADLINE_MS) / MS_PER_S, self._end_run, run, place
        )

    def _end_run(self, run: Run, place: _Place) -> None:
        version = place[0]
        self._in_flight[place] -= 1
        self.old_in_flight -= version == OLD_VERSION
        evidence = self.evidence_by_place[place]
        key = (SERVICE, version, run.route)
        if run.run_ms >= DEADLINE_MS:
            evidence.record_unanswered(key, DEADLINE_MS, timed=True)
            return
        evidence.record(
            key, run.run_ms, failed=run.failed, timed=not run.failed
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
