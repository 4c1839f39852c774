"""Nodes and control instances that share a limit, on a virtual clock."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from mustardspur_control.mesh.allowances import (
    UPDATE_INTERVAL_S,
    AllowanceBroker,
)
from mustardspur_control.mesh.store import MeshStore
from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceRequest,
)
from mustardspur_core.mesh.entries import PublishTable
from mustardspur_core.mesh.model import ClientAccount
from mustardspur_core.mesh.packing import encode_table, pack_table
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import replaced
from mustardspur_core.settings import MeshSettings
from mustardspur_core.tasks import background
from mustardspur_core.wire import encode_frame
from mustardspur_node.mesh.allowances import NodeAllowances
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import account, mesh_settings, table
from tests.support.virtual_time import virtual_now_s

EXCHANGE_DELAY_S = 0.02
NODE_DELAY_S = 0.001
WINDOW_S = 5.0


class Control:
    """A control instance; also its membership and its registry."""

    def __init__(self, world: 'World', name: str, mesh: MeshSettings) -> None:
        """Start the broker of an instance."""
        self.mesh = mesh
        self.world = world
        self.name = name
        self.store = MeshStore()
        self.alive = True
        self.sent: dict[str, dict[str, float]] = {}
        as_any: Any = self
        self.broker = AllowanceBroker(mesh, as_any, as_any, self.store)
        self.broker.borrowing.on_shortage(self._borrow)
        # Instances that have not answered a request for tokens.
        self.asked: set[str] = set()

    @property
    def known_ids(self) -> set[str]:
        """Identifiers of the other instances."""
        return self.world.controls.keys() - {self.name}

    def is_live(self, name: str) -> bool:
        """Whether messages of another instance arrive."""
        return self.world.reaches(name, self.name)

    def registrations_from(self, source: str) -> dict[str, Any]:
        """Return the nodes that an instance has reported."""
        return {
            node.name: None
            for node in self.world.nodes
            if node.control and node.control.name == (source or self.name)
        }

    def _borrow(self) -> None:
        """Ask other instances for tokens after the delays."""
        lenders = {
            name for name in self.known_ids - self.asked if self.is_live(name)
        }
        loop = asyncio.get_running_loop()
        requests = self.broker.borrowing.requests(lenders, loop.time())
        for lender, request in requests.items():
            self.asked.add(lender)
            self.world.bytes += len(encode_frame(request))
            loop.call_later(EXCHANGE_DELAY_S, self._lend, lender, request)

    def _lend(self, lender: str, request: AllowanceRequest) -> None:
        if not self.is_live(lender):
            self.asked.discard(lender)
            return
        loop = asyncio.get_running_loop()
        borrowing = self.world.controls[lender].broker.borrowing
        grant = borrowing.lend(request, loop.time())
        self.world.bytes += len(encode_frame(grant))
        loop.call_later(EXCHANGE_DELAY_S, self._receive, lender, request, grant)

    def _receive(
        self,
        lender: str,
        request: AllowanceRequest,
        grant: AllowanceGrant,
    ) -> None:
        self.asked.discard(lender)
        now_s = virtual_now_s()
        self.broker.borrowing.receive(lender, request, grant, now_s)


class Stream:
    """Stream of a node to its control instance."""

    def __init__(self, node: 'Node', control: Control) -> None:
        """Open the stream."""
        self.node = node
        self.control = control

    def enqueue(self, request: AllowanceRequest) -> None:
        """Deliver a request and its answer after the delays."""
        self.control.world.requests += 1
        loop = asyncio.get_running_loop()
        loop.call_later(NODE_DELAY_S, self._answer, request)

    def _answer(self, request: AllowanceRequest) -> None:
        if not self.control.alive:
            return
        grant = self.control.broker.answer(self.node.name, request)
        loop = asyncio.get_running_loop()
        loop.call_later(
            NODE_DELAY_S + self.node.suspended_s,
            self._deliver,
            grant,
        )

    def _deliver(self, grant: Any) -> None:
        if self.node.stream is self:
            self.node.allowances.apply(grant)


class Node:
    """A node, attached to a control instance or cut off."""

    def __init__(self, world: 'World', name: str, mesh: MeshSettings) -> None:
        """Start a node that is cut off."""
        self.name = name
        self.suspended_s: float = 0
        self.control: Control | None = None
        self.stream: Stream | None = None
        self.allowances = NodeAllowances(
            mesh,
            world.view,
            DecisionLog(),
            NullMetrics(),
            random.Random(name),
        )

    def attach(self, control: Control | None) -> None:
        """Attach to a control instance, or to none."""
        self.control = control
        self.stream = Stream(self, control) if control else None
        self.allowances.detach()
        if self.stream is not None:
            stream: Any = self.stream
            self.allowances.attach(stream)


class World:
    """Nodes, control instances and the calls of one account."""

    def __init__(
        self,
        rate_per_s: float,
        nodes: int,
        controls: int,
        mesh: MeshSettings | None = None,
    ) -> None:
        """Start all instances for the first time."""
        mesh = replaced(mesh or mesh_settings(), first_start=True)
        self.random = random.Random(7)
        self.view = MeshView()
        self.cut: set[str] = set()
        self.bytes = 0
        self.requests = 0
        self.table_index = 0
        self.account: ClientAccount
        self.admitted_s: list[float] = []
        self.refused_s: list[float] = []
        self.waits_s: list[float] = []
        self.controls: dict[str, Control] = {}
        for number in range(controls):
            name = f'control-{number}'
            self.controls[name] = Control(self, name, mesh)
        self.nodes = [Node(self, f'node-{each}', mesh) for each in range(nodes)]
        targets: Any = {node.name: None for node in self.nodes}
        self.view.targets_by_node = targets
        self.edit(rate_per_s)
        names = list(self.controls)
        for index, node in enumerate(self.nodes):
            node.attach(self.controls[names[index % controls]])

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the brokers and their exchange."""
        async with background(self._exchange()):
            yield

    def edit(self, rate_per_s: float) -> None:
        """Put a table with another limit in force everywhere."""
        self.table_index += 1
        self.account = account('cafe', rate_per_s=rate_per_s, burst=rate_per_s)
        for control in self.controls.values():
            self.load_table(control)

    def load_table(self, control: Control) -> None:
        """Apply the table at a control instance."""
        number = self.table_index
        edited = replaced(table(number), accounts={'cafe': self.account})
        control.store.apply_body(
            number,
            PublishTable(
                number=number,
                base=control.store.state.number,
                digest=str(number),
                packed=pack_table(encode_table(edited)),
                document=b'',
            ),
        )

    def restart(self, name: str) -> Control:
        """Start a control instance again that has lost its memory."""
        mesh = replaced(self.controls[name].mesh, first_start=False)
        self.controls[name] = Control(self, name, mesh)
        self.load_table(self.controls[name])
        for control in self.controls.values():
            control.sent.pop(name, None)
        return self.controls[name]

    def reaches(self, sender: str, receiver: str) -> bool:
        """Whether messages pass between two control instances."""
        alive = self.controls[sender].alive and self.controls[receiver].alive
        return alive and (sender in self.cut) == (receiver in self.cut)

    async def call(
        self,
        per_s: float,
        for_s: float,
        nodes: list[Node] | None = None,
    ) -> None:
        """Make calls at random times at random nodes."""
        until_s = virtual_now_s() + for_s
        async with asyncio.TaskGroup() as group:
            while virtual_now_s() < until_s:
                await asyncio.sleep(self.random.expovariate(per_s))
                node = self.random.choice(nodes or self.nodes)
                group.create_task(self.call_once(node))

    async def call_once(self, node: Node) -> None:
        """Make one call and record what became of it."""
        started_s = virtual_now_s()
        try:
            await node.allowances.admit(self.account, None)
        except UnansweredCall:
            self.refused_s.append(virtual_now_s())
        else:
            self.admitted_s.append(virtual_now_s())
        self.waits_s.append(virtual_now_s() - started_s)

    @property
    def mean_wait_s(self) -> float:
        """Mean time until a call was admitted or refused."""
        return sum(self.waits_s) / len(self.waits_s)

    def admitted_per_s(self, since_s: float) -> float:
        """Return the mean rate of admitted calls since a time."""
        count = sum(at_s >= since_s for at_s in self.admitted_s)
        return count / (virtual_now_s() - since_s)

    def excess(self, since_s: float = 0) -> float:
        """Return by how much the worst window exceeds the bound, in calls."""
        limit = self.account
        bound = (limit.rate_per_s * WINDOW_S + limit.burst) * 1.1 + 20
        times = [at_s for at_s in sorted(self.admitted_s) if at_s >= since_s]
        first = 0
        most = 0
        for last, at_s in enumerate(times):
            while times[first] < at_s - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most - bound

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            for control in self.controls.values():
                self._update(control)

    def _update(self, control: Control) -> None:
        if control.alive:
            control.broker.update(virtual_now_s())
        for other in control.known_ids:
            if self.reaches(control.name, other):
                self._send_demand(control, self.controls[other])
            else:
                control.sent.pop(other, None)

    def _send_demand(self, control: Control, other: Control) -> None:
        sent = control.sent.setdefault(other.name, {})
        demand = control.broker.changed_demand(sent)
        if demand is not None:
            self.bytes += len(encode_frame(demand))
            asyncio.get_running_loop().call_later(
                EXCHANGE_DELAY_S,
                other.broker.record_demand,
                control.name,
                demand,
            )
