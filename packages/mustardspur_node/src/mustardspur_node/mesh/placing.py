"""The path of a call from its caller's node to a target."""

import asyncio
import random
from http import HTTPStatus
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings

from mustardspur_node.mesh.call_log import CallLog
from mustardspur_node.mesh.calls import (
    MeshCall,
    PlaceFault,
    Placement,
    TargetAnswer,
)
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.journey import Journey
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_link import PeerCallLink
from mustardspur_node.mesh.retry_after import (
    UNKNOWN_RETRY_AFTER_S,
    retry_after_s,
)
from mustardspur_node.mesh.retry_budget import RetryBudget
from mustardspur_node.mesh.shares import ShareChooser
from mustardspur_node.mesh.view import MeshView

# Targets that may refuse a call before it is refused to the caller.
MAX_PLACEMENTS: Final = 4
# A call with less time than this is not placed again.
MIN_LEFT_MS: Final = 15.0


class Placer:
    """Finds a target for each call and repeats calls that may be repeated.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    mesh : MeshSettings
        Their part for a mesh.
    view : MeshView
        Table, transfers and targets.
    local : LocalTarget
        The target beside this node.
    metrics : Metrics
        Receives the counts of outcomes.
    """

    __slots__ = (
        '_choice',
        '_links',
        '_local',
        '_settings',
        '_shares',
        '_view',
        'budget',
        'chooser',
        'log',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        view: MeshView,
        local: LocalTarget,
        metrics: Metrics,
    ) -> None:
        """Start without streams to other nodes."""
        self._settings = settings
        self._view = view
        self._local = local
        self._choice = random.Random()
        self._shares = ShareChooser(self._choice)
        self._links: dict[str, PeerCallLink] = {}
        self.budget = RetryBudget(mesh)
        self.chooser = TargetChooser(settings, self._choice)
        self.log = CallLog(view, metrics)

    async def place(self, call: MeshCall) -> TargetAnswer:
        """Return the answer of a target to a call.

        Raises
        ------
        Placement
            If there is none.
        """
        service = self._shares.service_of(call.route)
        self.budget.note_call(service)
        journey = Journey(call, service)
        try:
            async with asyncio.timeout_at(call.deadline_s):
                return await self._travel(journey)
        except TimeoutError as error:
            raise self._ended(journey, 'no answer in time') from error

    def without_table(self, request_id: str | None) -> Placement:
        """Return the refusal of a call that came before the first table."""
        self.log.decisions.note('no table', request=request_id)
        return Placement(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no routing table is known yet',
            UNKNOWN_RETRY_AFTER_S,
        )

    def check_links(self) -> None:
        """Close streams that are silent or unused."""
        for link in self._links.values():
            link.check()

    def close(self) -> None:
        """Close all streams to other nodes."""
        for link in self._links.values():
            link.close()

    async def _travel(self, journey: Journey) -> TargetAnswer:
        while True:
            target = self._next_target(journey)
            if target is None:
                if journey.failure is not None:
                    return journey.failure
                raise self._ended(journey, journey.last_reason())
            answer = await self._try(journey, target)
            if answer is not None and self._is_final(journey, answer):
                self.log.note_answer(journey, target, answer)
                return answer

    def _next_target(self, journey: Journey) -> MeshTarget | None:
        if journey.placements >= MAX_PLACEMENTS:
            return None
        if journey.left_ms() < MIN_LEFT_MS:
            return None
        rows = [
            row
            for row in journey.rows(self._view, self._choice)
            if row.node not in journey.tried
        ]
        return self.chooser.choose(
            rows,
            journey.useful_ms(),
            journey.longest_wait_ms(),
        )

    async def _try(
        self,
        journey: Journey,
        target: MeshTarget,
    ) -> TargetAnswer | None:
        journey.placements += 1
        journey.tried.add(target.node)
        journey.sent_on = False
        opened = _opened(journey, target, self.chooser)
        self.chooser.note_sent(target.node)
        try:
            answer = await self._run(journey, target, opened)
        except PlaceFault as fault:
            self._note_fault(journey, target, fault)
            if not self._may_go_on(journey, fault):
                if journey.failure is not None:
                    return journey.failure
                raise self._ended(journey, fault.detail) from fault
            return None
        self.chooser.note_load(target.node, answer.load)
        journey.arrivals += 1
        journey.runs += 1
        return answer

    async def _run(
        self,
        journey: Journey,
        target: MeshTarget,
        opened: CallOpen,
    ) -> TargetAnswer:
        if target.node == self._settings.listen.stream:
            return await self._local.run(opened, journey.hand_over)
        link = self._links.get(target.node)
        if link is None:
            link = PeerCallLink(
                target.node,
                self._settings,
                self.chooser.note_load,
            )
            self._links[target.node] = link
        return await link.run(opened, journey.note_sent)

    def _note_fault(
        self,
        journey: Journey,
        target: MeshTarget,
        fault: PlaceFault,
    ) -> None:
        journey.note_fault(fault)
        if fault.kind == 'unreachable':
            self.chooser.note_unreachable(target.node)
        self.log.note_fault(journey, target, fault)

    def _may_go_on(self, journey: Journey, fault: PlaceFault) -> bool:
        if fault.not_run and not fault.arrived:
            return True
        if not fault.not_run and not journey.call.route.idempotent:
            return False
        return self._may_repeat(journey)

    def _may_repeat(self, journey: Journey) -> bool:
        if journey.arrivals >= journey.call.route.max_attempts:
            return False
        if journey.left_ms() < MIN_LEFT_MS:
            return False
        nodes = len(self._view.targets_by_node)
        granted = self.budget.take(journey.service, nodes)
        self.log.note_repeat(granted=granted)
        return granted

    def _is_final(self, journey: Journey, answer: TargetAnswer) -> bool:
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return True
        if not journey.call.route.idempotent:
            return True
        if journey.failure is not None:
            return True
        journey.failure = answer
        return not self._may_repeat(journey)

    def _ended(self, journey: Journey, reason: str) -> Placement:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if journey.runs or journey.sent_on:
            status = HTTPStatus.BAD_GATEWAY
            if journey.timed_out:
                status = HTTPStatus.GATEWAY_TIMEOUT
        self.log.note_end(journey, status, reason)
        return Placement(status, reason, retry_after_s(journey))


def _opened(
    journey: Journey,
    target: MeshTarget,
    chooser: TargetChooser,
) -> CallOpen:
    call = journey.call
    left_ms = journey.left_ms() - chooser.distances.way_ms(target)
    useful_ms = journey.useful_ms() - chooser.distances.way_ms(target)
    patience_ms = min(
        min(useful_ms, left_ms) - chooser.run_ms(target),
        journey.longest_wait_ms(),
    )
    return CallOpen(
        target=target.id,
        service=target.service,
        route=call.route.name,
        priority=call.rank,
        method=call.method,
        path=call.path,
        headers=call.headers,
        deadline_ms=left_ms,
        patience_ms=max(patience_ms, 0),
        confirm=not call.route.idempotent,
        body=call.body,
        more=False,
    )
