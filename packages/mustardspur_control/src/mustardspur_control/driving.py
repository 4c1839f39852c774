"""Connects the move driver of an instance to its hub and store."""

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


class HubInForceSource:
    """Nodes with a configuration in force, from the reports of the hub."""

    __slots__ = ('_hub',)

    def __init__(self, hub: Hub) -> None:
        """Initialise with the hub that is read."""
        self._hub = hub

    def in_force(self, service: str, index: int) -> InForce:
        """Return a service's nodes by whether they have reached an index."""
        in_force = InForce(nodes=[], waiting=[], unreachable=[])
        for row in self._hub.applied.rows(service):
            if row.report.reason == NOT_CONNECTED:
                in_force.unreachable.append(row.node)
            elif row.report.index < index:
                in_force.waiting.append(row.node)
            else:
                in_force.nodes.append(row.node)
        return in_force


class DriverMoveReports:
    """Passes evidence to the driver and returns its records to operators."""

    __slots__ = ('_driver', '_store')

    def __init__(self, driver: MoveDriver, store: Store) -> None:
        """Initialise with a driver and the store that has its moves."""
        self._driver = driver
        self._store = store

    def collect(self, node: str, outcomes: Outcomes) -> None:
        """Pass outcomes of a node or another control instance to the driver."""
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
) -> AsyncIterator[DriverMoveReports]:
    """Run the move driver for the length of a block.

    Parameters
    ----------
    log : CommittedLog
        Log that the steps are proposed to.
    store : Store
        Store with the moves.
    hub : Hub
        Source of evidence and cut-offs; sends cut-offs to the nodes.
    """
    driver = MoveDriver(log, store, HubInForceSource(hub), hub.cut_offs.add)
    hub.cut_offs.on_new(driver.accept_cut_off)
    moves = DriverMoveReports(driver, store)
    hub.on_outcomes(moves.collect)
    async with background(driver.run()):
        yield moves
