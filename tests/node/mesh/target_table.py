"""Table of targets in virtual time, on which policies place calls.

The selection, the admission and the run times are those of the product; the
streams between nodes are replaced by their delays.
"""

import asyncio
import random
from collections import Counter
from types import MappingProxyType

from mustardspur_core.mesh import MeshTarget
from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.record import replaced
from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.balancing import Knowledge, Offer, new_policy
from mustardspur_node.mesh.call_progress import CallProgress
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, target
from tests.node.mesh.builders import mesh_call, node_settings, waiting_request
from tests.support.virtual_time import virtual_now_s

# Region by data centre.
PLACES = MappingProxyType({'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b'})
# One-way delays in seconds by distance.
DELAYS_S = (0.0005, 0.001, 0.021)
WORK_MS = 178.0
MEAN_WORK_MS = WORK_MS * 1.18
LOOKUP = route('lookup', objective_ms=697.0, timeout_ms=2610.0)


class TableTarget:
    """A target with its admission; ``speed`` divides its run times."""

    def __init__(self, listed: MeshTarget, speed: float, policy: str) -> None:
        """Initialise an open target."""
        self.listed = listed
        self.speed = speed
        self.admission = AdmissionControl(balancing=policy)
        self.admission.open = True
        self.admission.resize(listed.slots)
        self.most_running = 0
        self.runs = 0

    async def run(
        self, work_ms: float, max_wait_ms: float, rank: int = 1
    ) -> None:
        """Run a call, or raise the refusal."""
        request = waiting_request(rank)
        async with self.admission.admitted(request, max_wait_ms):
            running = self.admission.capacity.running
            self.most_running = max(self.most_running, running)
            self.runs += 1
            run_ms = work_ms / self.speed
            with self.admission.run_times.tracked('lookup'):
                await asyncio.sleep(run_ms / 1000)
            self.admission.run_times.record(
                run_ms, failed=False, route='lookup'
            )

    async def hold_slot(self, length_s: float) -> None:
        """Use a slot for a time that says nothing about the run times."""
        async with self.admission.admitted(waiting_request(1), 0):
            await asyncio.sleep(length_s)


class TableNode:
    """A node that places calls by a policy."""

    def __init__(self, table: 'TargetTable', place: str, seed: int) -> None:
        """Initialise a node without reports."""
        self.table = table
        self.place = place
        settings = replaced(
            node_settings(), data_centre=place, region=PLACES[place]
        )
        source = random.Random(seed)
        self.chooser = TargetChooser(settings, source)
        self.view = MeshView()
        self.policy = new_policy(
            table.policy,
            Knowledge(
                view=self.view,
                chooser=self.chooser,
                random_source=source,
            ),
        )

    def record_report(self, each: TableTarget) -> None:
        """Receive a report of a target."""
        self.chooser.state_of(each.listed.node).group = (
            each.listed.service,
            each.listed.data_centre,
        )
        self.chooser.record_load(each.listed.node, each.admission.load)

    async def call(self, work_ms: float, called: MeshRoute = LOOKUP) -> str:
        """Place a call until it is answered; return what became of it."""
        now_s = virtual_now_s()
        call = mesh_call(
            route=called,
            deadline_s=now_s + 2.61,
            useful_s=now_s + 0.697,
            rank=called.priority,
        )
        progress = CallProgress(call, 'forms')
        outcome = await self._place_until_final(progress, work_ms)
        table = self.table
        table.outcomes[outcome] += 1
        table.outcomes[f'{called.name} {outcome}'] += 1
        held_ms = (virtual_now_s() - now_s) * 1000
        (table.held_ms if outcome == 'refused' else table.call_ms).append(
            held_ms
        )
        return outcome

    async def _place_until_final(
        self, progress: CallProgress, work_ms: float
    ) -> str:
        at_home = progress.homes.select(self.table.listed)
        while True:
            offer = self.policy.next_offer(progress, at_home)
            if offer is None:
                return 'refused'
            if await self._place(progress, offer, work_ms):
                return 'late' if progress.useful_ms() < 0 else 'in time'

    async def _place(
        self, progress: CallProgress, offer: Offer, work_ms: float
    ) -> bool:
        distances = self.chooser.distances
        each = self.table.by_node[offer.target.node]
        progress.record_placement(offer.target.node, is_first=offer.is_first)
        state = self.chooser.state_of(offer.target.node)
        distance = distances.distance(offer.target)
        self.table.outcomes[f'offers at {distance}'] += 1
        self.table.outcomes['offers'] += 1
        self.chooser.record_sent(offer.target.node)
        left_ms = progress.useful_ms() - self.chooser.run_ms(offer.target)
        wait_ms = max(min(offer.max_wait_ms, left_ms), 0)
        with state.own_call(
            offer.target, distances.report_delay_ms(offer.target)
        ):
            await asyncio.sleep(DELAYS_S[distance])
            try:
                await each.run(work_ms, wait_ms, progress.call.rank)
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
        name, region = progress.call.route.name, offer.target.region
        self.table.outcomes[f'{name} in {region}'] += 1
        return True


class TargetTable:
    """Targets and the nodes that call them."""

    def __init__(self, policy: str) -> None:
        """Initialise without targets and nodes."""
        self.policy = policy
        self.listed: list[MeshTarget] = []
        self.by_node: dict[str, TableTarget] = {}
        self.nodes: list[TableNode] = []
        self.source = random.Random(9)
        self.outcomes: Counter[str] = Counter()
        self.runs_at: Counter[int] = Counter()
        self.call_ms: list[float] = []
        self.held_ms: list[float] = []

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
    def capacity_per_s(self) -> float:
        """Calls a second that all targets can run."""
        return sum(
            each.listed.slots * each.speed * 1000 / MEAN_WORK_MS
            for each in self.targets()
        )

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
        self,
        nodes: list[TableNode],
        per_s: float,
        length_s: float,
        called: MeshRoute = LOOKUP,
    ) -> None:
        """Call at random times from random nodes, and wait for the answers.

        Runs take 178 ms at speed 1; three in a hundred take seven times as
        long.
        """
        end_s = virtual_now_s() + length_s
        async with asyncio.TaskGroup() as group:
            while virtual_now_s() < end_s:
                node = self.source.choice(nodes)
                work_ms = random_work_ms(self.source)
                group.create_task(node.call(work_ms, called))
                await asyncio.sleep(self.source.expovariate(per_s))


def random_work_ms(source: random.Random) -> float:
    """Return the run time of a call at speed 1; 3 in 100 are long."""
    factor = source.choices((1, 7), (97, 3))[0]
    return WORK_MS * factor * source.uniform(0.9, 1.1)


def spread_table(
    policy: str, places: tuple[str, ...], count: int = 40
) -> TargetTable:
    """Return 80 nodes and targets with speeds of 0.5 to 1.5, by place."""
    table = TargetTable(policy)
    for number in range(count):
        place = places[number % len(places)]
        listed = target(
            str(1000 + number),
            data_centre=place,
            region=PLACES[place],
            slots=5,
        )
        table.add_target(listed, 0.5 + (number * 7 % count) / (count - 1))
    for number in range(80):
        place = places[number % len(places)]
        table.nodes.append(TableNode(table, place, number))
    return table
