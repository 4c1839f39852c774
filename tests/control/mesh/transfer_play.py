"""A service under load during a transfer, in virtual time and without nodes."""

import asyncio
import math
import random
from typing import Any, Final, cast

from expression import Ok, Result
from mustardspur_agreement import Committed, ProposalError
from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.registry import LOCAL_SOURCE, MeshRegistry
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.transfers import TransferDriver
from mustardspur_core.mesh import Transfer
from mustardspur_core.mesh.control_messages import MeshEvidence
from mustardspur_core.mesh.entries import StartTransfer
from mustardspur_core.tasks import background
from mustardspur_core.wire import encode_frame
from mustardspur_node.mesh.node_reports import EVIDENCE_INTERVAL_S
from mustardspur_node.mesh.transfer_evidence import TransferEvidence

from tests.control.mesh.transfer_faults import Fault, Run
from tests.core.mesh.builders import mesh_settings, target
from tests.support.virtual_time import ticks

DURATION_S: Final = 16.0
# The targets of the new version are ready this long after the order.
START_S: Final = 1.6
TARGETS: Final = 7
CALLS_PER_S: Final = 305.0
# Part of the calls on each route.
ROUTES: Final = ('drafts', 'filings')
ROUTE_WEIGHTS: Final = (0.73, 0.27)
MEDIAN_RUN_MS: Final = 90.0
# Spread of the logarithm of the run times.
SPREAD: Final = 0.75
DEADLINE_MS: Final = 1500.0
# Time from a step of a transfer until all nodes apply it.
STEP_DELAY_S: Final = 0.1
# Start and end of the changed load, since the order.
LOADED_S: Final = (5.0, 13.0)
# Part of the runs that fail while both versions are disrupted.
DISRUPTED_PART: Final = 0.3
# The promise on bad versions.
MAX_BAD_SHARE: Final = 0.1
MAX_BAD_CALLS: Final = 50


class TransferPlay:
    """Calls to the targets of two versions while the leader decides.

    Parameters
    ----------
    seed : int
        Seed of the random draws.
    fault : Fault
        Fault of the new version.
    load : float
        Factor on the rate of calls during `LOADED_S`.
    """

    def __init__(self, seed: int, fault: Fault, load: float = 1) -> None:
        """Initialise without calls."""
        self._random = random.Random(seed)
        self._fault = fault
        self._load = load
        self._store = MeshStore()
        self._registry = MeshRegistry()
        self._aggregator = EvidenceAggregator()
        self._evidence_by_node: dict[str, TransferEvidence] = {}
        self._speeds = [self._random.uniform(0.7, 1.4) for _ in range(99)]
        self._share: float = 0
        self._index = 0
        self.is_leader = True
        # Time from which on no report reaches the leader.
        self.reports_until_s = math.inf
        # Time from which on a part of the runs of both versions fails.
        self.failing_from_s = math.inf
        self.calls = 0
        self.new_calls = 0
        self.old_in_flight = 0
        self.ended_s = math.inf
        for number in range(TARGETS):
            self._add_target(number, 'v1')

    @property
    def transfer(self) -> Transfer:
        """The transfer of the service."""
        return self._store.state.transfers['forms']

    @property
    def max_new_calls(self) -> float:
        """Largest number of calls that a bad version may have got."""
        return MAX_BAD_SHARE * self.calls + MAX_BAD_CALLS

    async def run(self) -> None:
        """Play a transfer until its duration has passed."""
        await self.propose(
            encode_frame(
                StartTransfer(
                    service='forms',
                    version='v2',
                    duration_ms=DURATION_S * 1000,
                    at_s=0,
                ),
            ),
        )
        driver = TransferDriver(
            mesh_settings(),
            cast(Any, self),
            self._store,
            self._registry,
            self._aggregator,
        )
        async with background(
            driver.run(), self._call(), self._report(), self._start_new()
        ):
            await asyncio.sleep(DURATION_S)

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry; nodes apply its share after `STEP_DELAY_S`."""
        self._index += 1
        answer = self._store.apply(self._index, entry)
        asyncio.get_running_loop().call_later(
            STEP_DELAY_S, self._apply_share, self.transfer
        )
        if self.transfer.state != 'running':
            self.ended_s = min(self.ended_s, _now())
        return Ok(
            Committed(index=self._index, term=1, holders=[], answer=answer)
        )

    def _apply_share(self, transfer: Transfer) -> None:
        running = transfer.state in {'running', 'completed'}
        self._share = transfer.share if running else 0

    def _add_target(self, number: int, version: str) -> None:
        name = f'{version}-{number}'
        self._registry.put(
            LOCAL_SOURCE, target(name, version=version, node=name)
        )
        self._evidence_by_node[name] = TransferEvidence()

    async def _start_new(self) -> None:
        await asyncio.sleep(START_S)
        for number in range(TARGETS):
            self._add_target(number, 'v2')
        await asyncio.Future()

    async def _call(self) -> None:
        while _now() < DURATION_S:
            rate = CALLS_PER_S
            if LOADED_S[0] < _now() < LOADED_S[1]:
                rate *= self._load
            await asyncio.sleep(self._random.expovariate(rate))
            self._start_run()

    def _start_run(self) -> None:
        self.calls += 1
        is_new = self._random.random() < self._share
        number = self._random.randrange(TARGETS)
        route = self._random.choices(ROUTES, weights=ROUTE_WEIGHTS)[0]
        speed = self._speeds[number + TARGETS * is_new]
        run = Run(
            speed * MEDIAN_RUN_MS * math.exp(self._random.gauss(0, SPREAD))
        )
        if is_new:
            self.new_calls += 1
            self._fault.apply(run, self._random, _now(), number)
        else:
            self.old_in_flight += 1
        is_disrupted = _now() >= self.failing_from_s
        if is_disrupted and self._random.random() < DISRUPTED_PART:
            run.failed = True
        version = 'v2' if is_new else 'v1'
        asyncio.get_running_loop().call_later(
            min(run.run_ms, DEADLINE_MS) / 1000,
            self._end_run,
            run,
            version,
            number,
            route,
        )

    def _end_run(self, run: Run, version: str, number: int, route: str) -> None:
        self.old_in_flight -= version == 'v1'
        evidence = self._evidence_by_node[f'{version}-{number}']
        key = ('forms', version, route)
        if run.run_ms >= DEADLINE_MS:
            evidence.record_unanswered(key, DEADLINE_MS, timed=True)
            return
        evidence.record(
            key, run.run_ms, failed=run.failed, timed=not run.failed
        )

    async def _report(self) -> None:
        interval_s = EVIDENCE_INTERVAL_S / (2 * TARGETS)
        count = round(DURATION_S / interval_s)
        async for number in ticks(count, interval_s):
            version = 'v2' if number % 2 else 'v1'
            place = number // 2 % TARGETS
            self._report_of(f'{version}-{place}')

    def _report_of(self, node: str) -> None:
        evidence = self._evidence_by_node.get(node)
        if evidence is not None and _now() < self.reports_until_s:
            self._aggregator.record(
                MeshEvidence(node=node, incarnation=1, rows=evidence.rows)
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
