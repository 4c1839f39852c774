"""Runs the move driver of an instance on what its hub collects."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from mustardspur_agreement import CommittedLog
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.messages import Outcomes
from mustardspur_core.tasks import background

from mustardspur_control.applied import NOT_CONNECTED
from mustardspur_control.hub import Hub
from mustardspur_control.move_driver import MoveDriver
from mustardspur_control.move_record import InForce
from mustardspur_control.store import Store


class HubForces:
    """Nodes in force, from the hub's table of reports."""

    __slots__ = ('_hub',)

    def __init__(self, hub: Hub) -> None:
        """Read from a hub."""
        self._hub = hub

    def in_force(self, service: str, index: int) -> InForce:
        """Return the nodes of a service by whether they have an index."""
        found = InForce(nodes=[], waiting=[], unreachable=[])
        for row in self._hub.applied.rows(service):
            if row.report.reason == NOT_CONNECTED:
                found.unreachable.append(row.node)
            elif row.report.index < index:
                found.waiting.append(row.node)
            else:
                found.nodes.append(row.node)
        return found


class DrivenMoves:
    """Takes evidence for the driver and reports its notes to operators."""

    __slots__ = ('_driver', '_store')

    def __init__(self, driver: MoveDriver, store: Store) -> None:
        """Put a driver beside the store that it drives."""
        self._driver = driver
        self._store = store

    def collect(self, node: str, outcomes: Outcomes) -> None:
        """Take the evidence of a node or of another control instance."""
        self._driver.collect(outcomes)

    def report(self, move: str) -> dict[str, Any]:
        """Return shares, evidence and decisions as JSON values."""
        record = self._driver.record(self._store.moves[move].move)
        report: dict[str, Any] = encode_mapping(record)
        report.pop('move')
        return report


@asynccontextmanager
async def running_driver(
    log: CommittedLog,
    store: Store,
    hub: Hub,
) -> AsyncIterator[DrivenMoves]:
    """Drive the moves for the length of a block, while the log leads.

    Parameters
    ----------
    log : CommittedLog
        Takes the steps.
    store : Store
        Has the moves.
    hub : Hub
        Collects evidence and cut-offs, and passes cut-offs on.
    """
    driver = MoveDriver(log, store, HubForces(hub), hub.cut_offs.add)
    hub.cut_offs.on_new(driver.accept_cut_off)
    moves = DrivenMoves(driver, store)
    hub.on_outcomes(moves.collect)
    async with background(driver.run()):
        yield moves
