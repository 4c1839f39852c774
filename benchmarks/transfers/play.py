"""A transfer that the leader decides under load, in virtual time.

There are no nodes: reports of the targets reach the leader at the intervals of
nodes, and its steps apply to all calls after a delay.
"""

import asyncio
from typing import Any, Final, cast

from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_control.mesh.registry import LOCAL_SOURCE, MeshRegistry
from mustardspur_control.mesh.transfers import TransferDriver
from mustardspur_core.mesh.entries import StartTransfer
from mustardspur_core.tasks import background
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import encode_frame
from mustardspur_node.mesh.transfer_evidence import TransferEvidence

from benchmarks.transfers.leader_log import LeaderLog
from benchmarks.transfers.loads import DURATION_S
from benchmarks.transfers.service import (
    NEW_VERSION,
    OLD_VERSION,
    SERVICE,
    TARGETS,
    Service,
)
from benchmarks.transfers.target_reports import TargetReports
from tests.core.mesh.builders import mesh_settings, target

# The targets of the new version are ready this long after the order.
START_S: Final = 1.6
# The promise on bad versions.
MAX_BAD_SHARE: Final = 0.1
MAX_BAD_CALLS: Final = 50


class TransferPlay:
    """A leader that transfers the calls of a service to a new version.

    Parameters
    ----------
    service : Service
        The service, without targets.
    driver_type : type, optional
        Class of the driver, which judges the new version.

    Attributes
    ----------
    log : LeaderLog
        Log of the leader.
    reports : TargetReports
        Reports to the leader.
    """

    def __init__(
        self,
        service: Service,
        driver_type: type[TransferDriver] = TransferDriver,
    ) -> None:
        """Initialise with the targets of the old version."""
        self.service = service
        self._driver_type = driver_type
        self.log = LeaderLog(service)
        self._registry = MeshRegistry()
        self._aggregator = EvidenceAggregator()
        self.reports = TargetReports(service, self._aggregator)
        for number in range(TARGETS):
            self._add_target(OLD_VERSION, number)

    @property
    def state(self) -> str:
        """State of the transfer."""
        return self.log.transfer.state

    @property
    def max_new_calls(self) -> float:
        """Largest number of calls that a bad version may have got."""
        return MAX_BAD_SHARE * self.service.calls + MAX_BAD_CALLS

    @property
    def is_completed(self) -> bool:
        """Whether the transfer has completed in time.

        The targets of the old version stop then, so none may run a call.
        """
        is_completed = self.state == 'completed'
        return is_completed and not self.service.old_in_flight

    async def run(self) -> None:
        """Play a transfer until its duration has passed."""
        await self.log.propose(
            encode_frame(
                StartTransfer(
                    service=SERVICE,
                    version=NEW_VERSION,
                    duration_ms=DURATION_S * MS_PER_S,
                    at_s=0,
                ),
            ),
        )
        driver = self._driver_type(
            mesh_settings(),
            cast(Any, self.log),
            self.log.store,
            self._registry,
            self._aggregator,
        )
        async with background(
            driver.run(),
            self.service.call(DURATION_S),
            self.reports.run(),
            self._start_new(),
        ):
            await asyncio.sleep(DURATION_S)

    async def _start_new(self) -> None:
        await asyncio.sleep(START_S)
        for number in range(TARGETS):
            self._add_target(NEW_VERSION, number)
        await asyncio.Future()

    def _add_target(self, version: str, number: int) -> None:
        name = f'{version}-{number}'
        self._registry.put(
            LOCAL_SOURCE, target(name, version=version, node=name)
        )
        self.service.evidence_by_place[version, number] = TransferEvidence()
