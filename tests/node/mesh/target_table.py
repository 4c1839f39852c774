"""Table of targets in virtual time, on which policies place calls.

The selection, the admission and the run times are those of the product; the
streams between nodes are replaced by their delays.
"""

import asyncio
import random
from collections import Counter
from typing import Any

from mustardspur_core.mesh import MeshTarget
from mustardspur_core.record import replaced
from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.balancing import Knowledge, Offer, new_policy
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route
from tests.node.mesh.builders import mesh_call, node_settings
from tests.support.virtual_time import virtual_now_s

# Region by data centre.
PLACES = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b'}
# One-way delays in seconds by distance.
DELAYS_S = (0.0005, 0.001, 0.021)
LOOKUP = route('lookup', objective_ms=697.0, timeout_ms=2610.0)


class TableTarget:
    """A target with its admission; ``speed`` divides its run times."""

    def __init__(self, listed: MeshTarget, speed: float, policy: str) -> None:
        """Initialise an open target."""
        self.listed = listed
        self.speed = speed
        self.admission = AdmissionControl(policy)
        self.admission.open = True
        self.admission.resize(listed.slots)
        self.most_running = 0
        self.runs = 0

    async def run(self, work_ms: float, max_wait_ms: float) -> None:
        """Run a call, or raise the refusal."""
        async with self.admission.admitted(1, max_wait_ms):
            running = self.admission.capacity.running
            self.most_running = max(self.most_running, running)
            self.runs += 1
            run_ms = work_ms / self.speed
            with self.admission.run_times.tracked('lookup'):
                await asyncio.sleep(run_ms / 1000)
            self.admission.run_times.record(
                run_ms, failed=False, route='lookup'
            )


class TableNode:
    """A node that places calls by a policy."""

    def __init__(self, table: 'TargetTable', place: str, seed: int) -> None:
        """Initialise a node without reports."""
        self.table = table
        settings = replaced(
            node_settings(), data_centre=place, region=PLACES[place]
        )
        source = random.Random(seed)
        self.chooser = TargetChooser(settings, source)
        self.policy = new_policy(
            table.policy,
            Knowledge(
                view=MeshView(),
                chooser=self.chooser,
                random_source=source,
            ),
        )

    def record_report(self, each: TableTarget) -> None:
        """Receive a report of a target."""
        self.chooser.state_of(each.listed.node).service = each.listed.service
        self.chooser.record_load(each.listed.node, each.admission.load)

    async def call(self, work_ms: float) -> str:
        """Place a call until it is answered; return what became of it."""
        now_s = virtual_now_s()
        call = mesh_call(
            route=LOOKUP, deadline_s=now_s + 2.61, useful_s=now_s + 0.697
        )
        progress = CallProgress(call, 'forms')
        while True:
            offer = self.policy.next_offer(progress, self.table.listed)
            if offer is None:
                self.table.outcomes['refused'] += 1
                return 'refused'
            if await self._place(progress, offer, work_ms):
                late = progress.useful_ms() < 0
                self.table.outcomes['late' if late else 'in time'] += 1
                self.table.call_ms.append((virtual_now_s() - now_s) * 1000)
                return 'late' if late else 'in time'

    async def _place(
        self, progress: CallProgress, offer: Offer, work_ms: float
    ) -> bool:
        distances = self.chooser.distances
        each = self.table.by_node[offer.target.node]
        progress.record_placement(offer.target.node, is_first=offer.is_first)
        state = self.chooser.state_of(offer.target.node)
        distance = distances.distance(offer.target)
        self.table.outcomes[f'offers at {distance}'] += 1
        self.chooser.record_sent(offer.target.node)
        left_ms = progress.useful_ms() - self.chooser.run_ms(offer.target)
        wait_ms = max(min(offer.max_wait_ms, left_ms), 0)
        with state.own_call('forms', distances.report_delay_ms(offer.target)):
            await asyncio.sleep(DELAYS_S[distance])
            try:
                await each.run(work_ms, wait_ms)
            except PlacementFault as fault:
                await asyncio.sleep(DELAYS_S[distance])
                self.record_report(each)
                progress.record_fault(fault)
                self.table.outcomes[f'refusals at {distance}'] += 1
                if offer.is_first:
                    progress.first_offers.refused.append(offer.target)
                return False
            await asyncio.sleep(DELAYS_S[distance])
        self.record_report(each)
        self.table.runs_at[distance] += 1
        return True


class TargetTable:
    """Targets and the nodes that call them."""

    def __init__(self, policy: str) -> None:
        """Initialise without targets and nodes."""
        self.policy = policy
        self.listed: list[MeshTarget] = []
        self.by_node: dict[str, TableTarget] = {}
        self.nodes: list[TableNode] = []
        self.outcomes: Counter[str] = Counter()
        self.runs_at: Counter[int] = Counter()
        self.call_ms: list[float] = []

    def add_target(self, listed: MeshTarget, speed: float) -> TableTarget:
        """Add a target that runs calls at a speed."""
        each = TableTarget(listed, speed, self.policy)
        self.listed.append(listed)
        self.by_node[listed.node] = each
        return each

    def targets(self) -> list[TableTarget]:
        """Return all targets."""
        return list(self.by_node.values())

    @property
    def slots(self) -> int:
        """Slots of all targets."""
        return sum(each.listed.slots for each in self.targets())

    @property
    def idle(self) -> int:
        """Slots that are free now."""
        return self.slots - sum(
            each.admission.capacity.running for each in self.targets()
        )

    @property
    def waiting(self) -> int:
        """Calls that wait now."""
        return sum(each.admission.load.waiting for each in self.targets())

    async def offer_load(
        self, per_s: float, length_s: float, work_ms: Any, source: Any
    ) -> None:
        """Call at random times from random nodes, and wait for the answers."""
        end_s = virtual_now_s() + length_s
        async with asyncio.TaskGroup() as group:
            while virtual_now_s() < end_s:
                node = source.choice(self.nodes)
                group.create_task(node.call(work_ms(source)))
                await asyncio.sleep(source.expovariate(per_s))
