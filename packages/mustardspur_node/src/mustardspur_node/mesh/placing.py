"""The path of a call from its caller's node to a target."""

import asyncio
import random
from http import HTTPStatus
from typing import Final

from mustardspur_core.mesh.messages import CallOpen, TargetLoad
from mustardspur_core.mesh.model import MeshTarget
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.calls import (
    MeshCall,
    PlaceFault,
    TargetAnswer,
)
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_link import PeerLink
from mustardspur_node.mesh.retry_budget import RetryBudget
from mustardspur_node.mesh.shares import ShareChooser
from mustardspur_node.mesh.versions import eligible_targets
from mustardspur_node.mesh.view import MeshView

# Targets that may refuse a call before it is refused to the caller.
MAX_PLACEMENTS: Final = 6
# Part of a run's mean time that a call must have left after its wait, as
# most runs are shorter than the mean.
NEEDED_RUNS: Final = 1.2
# A call with less time than this is not placed again.
MIN_LEFT_MS: Final = 15.0
# Time after which a refused caller is asked to come back: about the time in
# which a full target frees its slots.
RETRY_AFTER_S: Final = 0.25


class Placement(Exception):
    """The call ends without a target's answer.

    Parameters
    ----------
    status : HTTPStatus
        For the caller; 503 only if the call certainly did not run.
    reason : str
        Description for the caller and the log.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        """Keep both."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


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
        '_metrics',
        '_settings',
        '_shares',
        '_view',
        'budget',
        'chooser',
        'decisions',
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
        self._metrics = metrics
        self._choice = random.Random()
        self._shares = ShareChooser(self._choice)
        self._links: dict[str, PeerLink] = {}
        self.budget = RetryBudget(mesh)
        self.chooser = TargetChooser(settings, self._choice)
        self.decisions = DecisionLog()

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

    def check_links(self) -> None:
        """Close streams that are silent or unused."""
        for link in self._links.values():
            link.check()

    def close(self) -> None:
        """Close all streams to other nodes."""
        for link in self._links.values():
            link.close()

    async def _travel(self, journey: 'Journey') -> TargetAnswer:
        while True:
            target = self._next_target(journey)
            if target is None:
                if journey.failure is not None:
                    return journey.failure
                raise self._ended(journey, journey.last_reason())
            answer = await self._try(journey, target)
            if answer is not None and self._is_final(journey, answer):
                self._log_answer(journey, target, answer)
                return answer

    def _next_target(self, journey: 'Journey') -> MeshTarget | None:
        if journey.placements >= MAX_PLACEMENTS:
            return None
        if journey.left_ms() < MIN_LEFT_MS:
            return None
        rows = [
            row
            for row in journey.rows(self._view, self._choice)
            if row.node not in journey.tried
        ]
        near = self.chooser.near(rows)
        return self.chooser.choose(near or rows)

    async def _try(
        self,
        journey: 'Journey',
        target: MeshTarget,
    ) -> TargetAnswer | None:
        journey.placements += 1
        journey.tried.add(target.node)
        journey.sent_on = False
        opened = self._opened(journey, target)
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
        journey: 'Journey',
        target: MeshTarget,
        opened: CallOpen,
    ) -> TargetAnswer:
        if target.node == self._settings.listen.stream:
            return await self._local.run(opened, journey.note_sent)
        link = self._links.get(target.node)
        if link is None:
            link = PeerLink(
                target.node,
                self._settings,
                self.chooser.note_load,
            )
            self._links[target.node] = link
        return await link.run(opened, journey.note_sent)

    def _opened(self, journey: 'Journey', target: MeshTarget) -> CallOpen:
        call = journey.call
        left_ms = journey.left_ms() - self.chooser.distance_ms(target)
        patience_ms = left_ms - NEEDED_RUNS * self.chooser.run_ms(target)
        return CallOpen(
            target=target.id,
            service=target.service,
            route=call.route.name,
            priority=call.route.priority,
            method=call.method,
            path=call.path,
            headers=call.headers,
            deadline_ms=left_ms,
            patience_ms=max(patience_ms, 0.0),
            repeat=journey.arrivals > 0,
            body=call.body,
            more=False,
        )

    def _note_fault(
        self,
        journey: 'Journey',
        target: MeshTarget,
        fault: PlaceFault,
    ) -> None:
        journey.faults.append(fault)
        if fault.arrived:
            journey.arrivals += 1
        if not fault.not_run:
            journey.runs += 1
        if fault.kind == 'unreachable':
            self.chooser.note_unreachable(target.node)
        self._metrics.incr(f'calls.fault.{fault.kind}')
        self.decisions.note(
            'target gave no answer',
            request=journey.call.request_id,
            route=journey.call.route.name,
            target=target.id,
            node=target.node,
            kind=fault.kind,
            not_run=fault.not_run,
            detail=fault.detail,
            left_ms=round(journey.left_ms()),
            table_index=self._view.table_index,
        )

    def _may_go_on(self, journey: 'Journey', fault: PlaceFault) -> bool:
        if fault.not_run and not fault.arrived:
            return True
        if not fault.not_run and not journey.call.route.idempotent:
            return False
        return self._may_repeat(journey)

    def _may_repeat(self, journey: 'Journey') -> bool:
        if journey.arrivals >= journey.call.route.max_attempts:
            return False
        if journey.left_ms() < MIN_LEFT_MS:
            return False
        nodes = len(self._view.rows_by_node)
        return self.budget.take(journey.service, nodes)

    def _is_final(self, journey: 'Journey', answer: TargetAnswer) -> bool:
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return True
        if not journey.call.route.idempotent:
            return True
        if journey.failure is not None:
            return True
        journey.failure = answer
        return not self._may_repeat(journey)

    def _ended(self, journey: 'Journey', reason: str) -> Placement:
        call = journey.call
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if journey.runs or journey.sent_on:
            status = HTTPStatus.BAD_GATEWAY
            if journey.left_ms() <= 0:
                status = HTTPStatus.GATEWAY_TIMEOUT
        self._metrics.incr(f'calls.ended.{status.value}')
        self.decisions.note(
            'call ended without an answer',
            request=call.request_id,
            route=call.route.name,
            service=journey.service,
            status=status.value,
            reason=reason,
            placements=journey.placements,
            arrivals=journey.arrivals,
            left_ms=round(journey.left_ms()),
            held_ms=round(journey.held_ms()),
            table_index=self._view.table_index,
        )
        return Placement(status, reason)

    def _log_answer(
        self,
        journey: 'Journey',
        target: MeshTarget,
        answer: TargetAnswer,
    ) -> None:
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        write = self.decisions.note if failed else self.decisions.sample
        write(
            'target failed a call' if failed else 'call answered',
            request=journey.call.request_id,
            route=journey.call.route.name,
            target=target.id,
            node=target.node,
            status=answer.status,
            placements=journey.placements,
            arrivals=journey.arrivals,
            held_ms=round(journey.held_ms()),
            table_index=self._view.table_index,
        )


class Journey:
    """What has been tried for a call.

    Parameters
    ----------
    call : MeshCall
        The call.
    service : str
        The service that it was assigned to.
    """

    __slots__ = (
        '_rows',
        'arrivals',
        'call',
        'failure',
        'faults',
        'placements',
        'runs',
        'sent_on',
        'service',
        'tried',
    )

    def __init__(self, call: MeshCall, service: str) -> None:
        """Start untried."""
        self.call = call
        self.service = service
        self.placements = 0
        self.arrivals = 0
        self.runs = 0
        self.sent_on = False
        self.tried: set[str] = set()
        self.faults: list[PlaceFault] = []
        self.failure: TargetAnswer | None = None
        self._rows: list[MeshTarget] | None = None

    def rows(self, view: MeshView, choice: random.Random) -> list[MeshTarget]:
        """Return the targets of the version that the call goes to."""
        if self._rows is None:
            self._rows = eligible_targets(view, self.service, choice)
        return self._rows

    def note_sent(self, _load: TargetLoad | None = None) -> None:
        """Note that the call may run from now on."""
        self.sent_on = True

    def left_ms(self) -> float:
        """Return the time that is left."""
        return (self.call.deadline_s - _now()) * MS_PER_S

    def held_ms(self) -> float:
        """Return the time since the call was read."""
        return (_now() - self.call.started_s) * MS_PER_S

    def last_reason(self) -> str:
        """Return why the last target gave no answer."""
        return str(self.faults[-1]) if self.faults else 'no target is known'


def _now() -> float:
    return asyncio.get_running_loop().time()
