"""Tests of the progress of transfers."""

import asyncio
from typing import Any, cast

from expression import Ok, Result
from mustardspur_agreement import Committed, ProposalError
from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.registry import LOCAL_SOURCE, MeshRegistry
from mustardspur_control.mesh.store import MeshStore
from mustardspur_control.mesh.transfers import TransferDriver
from mustardspur_core.mesh import Transfer
from mustardspur_core.mesh.control_messages import (
    MeshEvidence,
    RouteOutcomeCounts,
)
from mustardspur_core.mesh.entries import StartTransfer
from mustardspur_core.tasks import background
from mustardspur_core.wire import encode_frame

from tests.core.mesh.builders import mesh_settings, target
from tests.support.virtual_time import in_virtual_time, ticks

_DURATION_S = 12.0


class _Log:
    """A log that commits each entry immediately."""

    def __init__(self, store: MeshStore) -> None:
        self._store = store
        self.is_leader = True
        self.index = 0

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        self.index += 1
        answer = self._store.apply(self.index, entry)
        return Ok(
            Committed(index=self.index, term=1, holders=[], answer=answer)
        )


class _Mesh:
    """State of a leader with an old and a new target of a service."""

    def __init__(self) -> None:
        self.store = MeshStore()
        self.registry = MeshRegistry()
        self.evidence = EvidenceAggregator()
        self.log = _Log(self.store)
        self.runs = 200
        self.registry.put(LOCAL_SOURCE, target('1'))
        self.registry.put(LOCAL_SOURCE, target('2', version='v2'))

    @property
    def transfer(self) -> Transfer:
        return self.store.state.transfers['forms']

    def driver(self) -> TransferDriver:
        return TransferDriver(
            mesh_settings(),
            cast(Any, self.log),
            self.store,
            self.registry,
            self.evidence,
        )

    async def order(self, version: str = 'v2') -> None:
        await self.log.propose(
            encode_frame(
                StartTransfer(
                    service='forms',
                    version=version,
                    duration_ms=_DURATION_S * 1000,
                    at_s=0,
                ),
            ),
        )

    def report(
        self,
        runs: int,
        failed: int,
        version: str = 'v2',
        node: str = 'n1',
    ) -> None:
        rows = [
            RouteOutcomeCounts(
                service='forms',
                version=name,
                route='drafts',
                runs=count,
                failed=failed_count,
                timed=count - failed_count,
                timed_ms=50.0 * (count - failed_count),
                unanswered=0,
                latency_buckets=[],
                latency_counts=[],
            )
            for name, count, failed_count in (
                ('v1', 500, 2),
                (version, runs, failed),
            )
        ]
        self.evidence.record(MeshEvidence(node=node, incarnation=1, rows=rows))

    async def report_runs_for(
        self, seconds: float, version: str = 'v2'
    ) -> None:
        """Report more runs of a healthy version each 0.2 s."""
        async for _ in ticks(round(seconds / 0.2), 0.2):
            self.runs += 10
            self.report(self.runs, 1, version)


@in_virtual_time
async def test_healthy_version_completes_within_its_duration() -> None:
    """A transfer to a healthy version completes before its deadline."""
    mesh = _Mesh()
    await mesh.order()
    async with background(mesh.driver().run()):
        await asyncio.sleep(2)
        assert 0 < round(100 * mesh.transfer.share) <= 10
        await mesh.report_runs_for(_DURATION_S - 2 - 1)
    assert mesh.transfer.state == 'completed'
    assert mesh.store.state.base_versions['forms'] == 'v2'


@in_virtual_time
async def test_faulty_version_is_rolled_back_immediately() -> None:
    """No further calls go to a version that is known to fail."""
    mesh = _Mesh()
    await mesh.order()
    async with background(mesh.driver().run()):
        await asyncio.sleep(3)
        mesh.report(20, 10)
        await asyncio.sleep(0.5)
    assert mesh.transfer.state == 'rolled_back'


@in_virtual_time
async def test_version_without_targets_is_rolled_back() -> None:
    """A transfer ends even if its version has no targets."""
    mesh = _Mesh()
    mesh.registry.remove(LOCAL_SOURCE, '127.0.0.1:2')
    await mesh.order()
    async with background(mesh.driver().run()):
        await asyncio.sleep(_DURATION_S - 1)
        assert mesh.transfer.share == 0
        await asyncio.sleep(2)
    assert mesh.transfer.state == 'rolled_back'


@in_virtual_time
async def test_next_leader_continues_from_the_elapsed_time() -> None:
    """A change of the leader does not restart a transfer."""
    mesh = _Mesh()
    await mesh.order()
    async with background(mesh.driver().run()):
        await mesh.report_runs_for(6)
    # The next leader is elected a second later.
    await asyncio.sleep(1)
    async with background(mesh.driver().run()):
        await mesh.report_runs_for(4)
    assert mesh.transfer.state == 'completed'


@in_virtual_time
async def test_base_version_is_recorded() -> None:
    """A new version receives no calls before its transfer is ordered."""
    mesh = _Mesh()
    mesh.registry.remove(LOCAL_SOURCE, '127.0.0.1:2')
    async with background(mesh.driver().run()):
        await asyncio.sleep(1)
    assert mesh.store.state.base_versions == {'forms': 'v1'}


@in_virtual_time
async def test_rolled_back_targets_delay_no_transfer() -> None:
    """Guards against a healthy version that is rolled back at its deadline,
    since targets of an earlier bad one are still there.
    """
    mesh = _Mesh()
    mesh.registry.put(LOCAL_SOURCE, target('3', version='v3'))
    mesh.store.state.rolled_back = {'forms': ['v2']}
    await mesh.order('v3')
    async with background(mesh.driver().run()):
        await mesh.report_runs_for(_DURATION_S, 'v3')
    assert mesh.transfer.state == 'completed'


@in_virtual_time
async def test_rolled_back_version_is_not_the_base() -> None:
    """Guards against a service without a base version, or with a bad one, since
    targets of a version that was rolled back are still there.
    """
    mesh = _Mesh()
    mesh.store.state.rolled_back = {'forms': ['v2']}
    async with background(mesh.driver().run()):
        await asyncio.sleep(1)
    assert mesh.store.state.base_versions == {'forms': 'v1'}


@in_virtual_time
async def test_evidence_of_an_earlier_term_is_not_used() -> None:
    """Failures of a previous version must not hide those of the next one."""
    mesh = _Mesh()
    mesh.registry.put(LOCAL_SOURCE, target('3', version='v3'))
    # The node was removed with the targets of the version that failed.
    mesh.report(400, 300, version='v2', node='removed')
    mesh.log.is_leader = False
    async with background(mesh.driver().run()):
        await asyncio.sleep(1)
        mesh.log.is_leader = True
        await mesh.order('v3')
        mesh.report(20, 10, version='v3')
        await asyncio.sleep(1)
    assert mesh.transfer.state == 'rolled_back'
