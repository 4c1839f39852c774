"""Reports of the outcomes of calls to the leader."""

import asyncio
import math

from mustardspur_control.mesh.evidence import EvidenceAggregator
from mustardspur_core.mesh.control_messages import MeshEvidence
from mustardspur_node.mesh.node_reports import EVIDENCE_INTERVAL_S

from benchmarks.transfers.loads import DURATION_S
from benchmarks.transfers.service import (
    NEW_VERSION,
    OLD_VERSION,
    TARGETS,
    Service,
)
from tests.support.virtual_time import ticks


class TargetReports:
    """Reports of the nodes of all targets, one after the other.

    Parameters
    ----------
    service : Service
        Counts the outcomes.
    aggregator : EvidenceAggregator
        Receives the reports.

    Attributes
    ----------
    until_s : float
        Time from which on no report reaches the leader.
    """

    def __init__(
        self, service: Service, aggregator: EvidenceAggregator
    ) -> None:
        """Initialise with reports that reach the leader."""
        self._service = service
        self._aggregator = aggregator
        self.until_s = math.inf

    async def run(self) -> None:
        """Report until the duration of a transfer has passed."""
        interval_s = EVIDENCE_INTERVAL_S / (2 * TARGETS)
        count = round(DURATION_S / interval_s)
        async for number in ticks(count, interval_s):
            version = NEW_VERSION if number % 2 else OLD_VERSION
            self._report(version, number // 2 % TARGETS)

    def _report(self, version: str, number: int) -> None:
        evidence = self._service.evidence_by_place.get((version, number))
        now_s = asyncio.get_running_loop().time()
        if evidence is not None and now_s < self.until_s:
            self._aggregator.record(
                MeshEvidence(
                    node=f'{version}-{number}',
                    incarnation=1,
                    rows=evidence.rows,
                ),
            )
