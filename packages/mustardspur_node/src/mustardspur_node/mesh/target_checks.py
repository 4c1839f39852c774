"""Queries of the local target's status while the node runs."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Final

from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.confirmation import health_path, is_healthy
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.reports import is_ready
from mustardspur_node.mesh.service_rules import service_rule
from mustardspur_node.mesh.view import MeshView

# Least time between two queries; each takes a slot for about 6 ms.
MIN_INTERVAL_S: Final = 0.05
# Delay after a failed query. A target that has stopped cannot be reached, and
# reports itself when it runs again.
FAILED_INTERVAL_S: Final = 0.3
# Longest wait of a status query for a slot. The calls of a target that hangs
# hold all of its slots until their deadlines.
MAX_QUERY_WAIT_S: Final = 0.5
QUERY_POLL_S: Final = 0.005


class TargetChecks:
    """Queries the status of a target that may have turned cold.

    Explanation
    ===========

    `ColdState` decides when a query is needed: after a suspicious event, and
    when the calls since the last statement of a warm target approach the
    bound. Services without `cold_per_s` have no queries.

    Parameters
    ----------
    local : LocalTarget
        The local target of the node.
    view : MeshView
        View whose table contains the health path of the service.

    Attributes
    ----------
    queries : int
        Queries since the start of the node.
    """

    __slots__ = ('_local', '_view', '_wanted', 'queries')

    def __init__(self, local: LocalTarget, view: MeshView) -> None:
        """Initialise without queries."""
        self._local = local
        self._view = view
        self._wanted = asyncio.Event()
        self.queries = 0
        local.reports.cold.rule_of = partial(service_rule, view)
        local.reports.cold.on_query_wanted = self._wanted.set

    async def run(self) -> None:
        """Query the status when it is needed, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            if self._local.reports.cold.needs_query:
                healthy = await self._query()
                await asyncio.sleep(
                    MIN_INTERVAL_S if healthy else FAILED_INTERVAL_S,
                )

    async def _query(self) -> bool:
        """Return whether the target answered as healthy."""
        local = self._local
        path = health_path(local, self._view)
        if path is None or not is_ready(local.reports.current):
            return False
        async with _query_slot(local.admission):
            sent_s = _now()
            self.queries += 1
            healthy = await is_healthy(local, path)
        cold = local.reports.cold
        if healthy and not cold.is_cold:
            # The answer may state no cold time.
            cold.verify(sent_s)
        return healthy


@asynccontextmanager
async def _query_slot(admission: AdmissionControl) -> AsyncIterator[None]:
    """Hold a slot for a query of the target's status.

    Explanation
    ===========

    A query occupies a slot of the target for some milliseconds, and a full
    target resets the connection. The slot is taken at once, so that the next
    one that becomes free is not given to a call. A query does not wait for
    the rate limits.
    """
    capacity = admission.capacity
    capacity.reserve()
    try:
        await _wait_for_slot(admission)
        yield
    finally:
        capacity.finish()
        admission.resize(capacity.slots)


async def _wait_for_slot(admission: AdmissionControl) -> None:
    until_s = _now() + MAX_QUERY_WAIT_S
    while admission.capacity.is_overfull and _now() < until_s:
        await asyncio.sleep(QUERY_POLL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
