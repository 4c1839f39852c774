"""Placement of calls on targets by the caller's node."""

import asyncio
import random
from http import HTTPStatus
from typing import Final

from mustardspur_core.mesh.call_messages import CallOpen
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings, Settings

from mustardspur_node.mesh.balancing import (
    MIN_LEFT_MS,
    BalancingPolicy,
    Knowledge,
    LargeBodies,
    Offer,
    new_policy,
)
from mustardspur_node.mesh.call_log import CallLog
from mustardspur_node.mesh.call_progress import CallProgress, in_time_ms
from mustardspur_node.mesh.call_retries import CallRetries
from mustardspur_node.mesh.calls import (
    MeshCall,
    PlacementFault,
    TargetAnswer,
    UnansweredCall,
)
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_links import PeerLinks
from mustardspur_node.mesh.retry_after import (
    UNKNOWN_RETRY_AFTER_S,
    retry_after_s,
)
from mustardspur_node.mesh.service_choice import WeightedServiceChooser
from mustardspur_node.mesh.view import MeshView

# Faults of nodes whose target is missing; they take no more than a round trip.
_MISSING_KINDS: Final = frozenset(('unreachable', 'moved'))


class Placer:
    """Places calls on targets and retries those that may be retried.

    Parameters
    ----------
    settings : Settings
        Settings of this node.
    mesh : MeshSettings
        Settings of this node for the mesh.
    view : MeshView
        Routing table, transfers and targets.
    local : LocalTarget
        The target on the instance of this node.
    metrics : Metrics
        Receives the counts of outcomes.


    Attributes
    ----------
    link : InstanceLink
        Link of the instance, and the room for bodies.
    """

    __slots__ = (
        '_large_bodies',
        '_latest_deadline_s',
        '_local',
        '_policy',
        '_random',
        '_services',
        '_settings',
        '_timeouts_by_progress',
        '_view',
        'chooser',
        'link',
        'links',
        'log',
        'retries',
    )

    def __init__(
        self,
        settings: Settings,
        mesh: MeshSettings,
        view: MeshView,
        local: LocalTarget,
        metrics: Metrics,
    ) -> None:
        """Initialise without streams to other nodes."""
        self._settings = settings
        self._view = view
        self._local = local
        self.link = local.admission.link
        self._random = random.Random()
        self._services = WeightedServiceChooser(self._random)
        # Deadlines of the calls in flight.
        self._timeouts_by_progress: dict[CallProgress, asyncio.Timeout] = {}
        # Latest deadline, in loop time, with which further calls are placed.
        self._latest_deadline_s = float('inf')
        self.retries = CallRetries(mesh, view, local, self._random)
        self.chooser = TargetChooser(settings, self._random)
        self.links = PeerLinks(
            settings,
            self.chooser.record_load,
            self.link.uplink,
        )
        self.chooser.cold.use_view(view)
        knowledge = Knowledge(
            view=view,
            chooser=self.chooser,
            random_source=self._random,
        )
        self._policy = new_policy(mesh.balancing, knowledge)
        self._large_bodies = LargeBodies(knowledge)
        self.log = CallLog(view, metrics)

    async def place(self, call: MeshCall) -> TargetAnswer:
        """Return the answer of a target to a call.

        Raises
        ------
        UnansweredCall
            If no target answers the call before its deadline.
        """
        service = self._services.next_service(call.route)
        progress = self.retries.new_progress(call, service)
        if call.deadline_s > self._latest_deadline_s:
            raise self._unanswered(
                progress, 'the node stops before the deadline'
            )
        return await self._place_in_time(progress)

    def refuse_after(self, latest_deadline_s: float) -> None:
        """Refuse the calls that were not sent and have a later deadline.

        A node that stops would cut off their runs.
        """
        self._latest_deadline_s = latest_deadline_s
        self.end_unsent(latest_deadline_s)

    def end_unsent(
        self,
        after_s: float = 0,
        *,
        includes_sent: bool = False,
    ) -> None:
        """End the calls that no target may run, as the node stops.

        Their callers are told that they did not run, where a connection that
        is closed by the exit of the process would leave that open.

        Parameters
        ----------
        after_s : float
            Time in loop time; calls with an earlier deadline go on.
        includes_sent : bool
            Whether to end those that a target may run as well. If only their
            streams were closed, they could be placed again.
        """
        now_s = asyncio.get_running_loop().time()
        for progress, timeout in self._timeouts_by_progress.items():
            is_sent = progress.may_run or progress.possible_runs
            if is_sent and not includes_sent:
                continue
            # A deadline that has passed cannot be changed any more; timers may
            # expire a bit before their time.
            is_later = (timeout.when() or 0) > max(now_s, after_s)
            if is_later and not timeout.expired():
                timeout.reschedule(now_s)

    def refuse_without_table(self, request_id: str | None) -> UnansweredCall:
        """Return the refusal of a call received before the first table."""
        self.log.decisions.write('no table', request=request_id)
        return UnansweredCall(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no routing table is known yet',
            UNKNOWN_RETRY_AFTER_S,
        )

    async def _place_in_time(self, progress: CallProgress) -> TargetAnswer:
        deadline = asyncio.timeout_at(progress.call.deadline_s)
        self._timeouts_by_progress[progress] = deadline
        try:
            async with deadline:
                return await self._place_until_final(progress)
        except TimeoutError as error:
            reason = 'the node stops'
            if progress.left_ms() <= 0:
                reason = 'no answer in time'
            raise self._unanswered(progress, reason) from error
        except asyncio.CancelledError as error:
            self.log.record_cut_off(progress, str(error))
            raise
        finally:
            self._timeouts_by_progress.pop(progress)
            if progress.failed_answer is not None:
                kept_bytes = len(progress.failed_answer.body)
                self._local.budget.release(kept_bytes)

    async def _place_until_final(
        self,
        progress: CallProgress,
    ) -> TargetAnswer:
        while True:
            policy: BalancingPolicy = self._policy
            if self.link.body_bytes(progress.call.body):
                policy = self._large_bodies
            offer = policy.next_offer(
                progress,
                progress.candidates(self._view, self._random),
            )
            if offer is None:
                if progress.failed_answer is not None:
                    return progress.failed_answer
                raise self._unanswered(progress, progress.failure_reason())
            answer = await self._place_once(progress, offer)
            if answer is not None and self._is_final(progress, answer):
                self.log.record_answer(progress, offer.target, answer)
                return answer

    async def _place_once(
        self,
        progress: CallProgress,
        offer: Offer,
    ) -> TargetAnswer | None:
        """Return the answer of a target, None if the call may be placed again.

        Raises
        ------
        UnansweredCall
            If the target gave no answer and the call may not be placed
            again.
        """
        target = offer.target
        progress.record_placement(target.node, is_first=offer.is_first)
        if offer.is_spilled:
            self.log.record_spilled()
        is_local = target.node == self._settings.listen.stream
        is_large = bool(self.link.body_bytes(progress.call.body))
        opened = _call_open(
            progress,
            offer,
            self.chooser,
            crosses_link=is_large and not is_local,
        )
        opened.repeat = self.retries.is_repeat(progress)
        try:
            answer = await self._run(progress, offer, opened)
        except PlacementFault as fault:
            self._record_fault(progress, offer, fault)
            if not self._may_place_again(progress, fault):
                if progress.failed_answer is not None:
                    return progress.failed_answer
                raise self._unanswered(progress, fault.detail) from fault
            return None
        self.chooser.record_load(target.node, answer.load)
        progress.arrivals += 1
        self.retries.record_arrival(progress)
        progress.possible_runs += 1
        return answer

    async def _run(
        self,
        progress: CallProgress,
        offer: Offer,
        opened: CallOpen,
    ) -> TargetAnswer:
        target = offer.target
        self._local.blocked.raise_if_blocked(progress.call)
        self.chooser.record_sent(target.node)
        report_delay_ms = self.chooser.distances.report_delay_ms(target)
        state = self.chooser.state_of(target.node)
        with state.own_call(target, report_delay_ms):
            if target.node == self._settings.listen.stream:
                return await self._local.run(opened, progress.before_send)
            link = self.links.link_to(target.node)
            return await link.run(opened, progress.mark_may_run)

    def _record_fault(
        self,
        progress: CallProgress,
        offer: Offer,
        fault: PlacementFault,
    ) -> None:
        target = offer.target
        progress.record_fault(fault)
        if fault.arrived:
            self.retries.record_arrival(progress)
            if target.node == self._settings.listen.stream:
                # Other nodes report the load of their target with a fault.
                load = self._local.admission.load
                self.chooser.record_load(target.node, load)
        if offer.is_first and fault.kind == 'busy':
            # Counted only: lines about such refusals, which are frequent and
            # expected, would displace those about other faults.
            progress.first_offers.refused.append(target)
            distance = self.chooser.distances.distance(target)
            self.log.record_refused_offer(distance)
            return
        if fault.kind in _MISSING_KINDS:
            self.chooser.mark_unreachable(target.node)
        self.log.record_fault(progress, target, fault)

    def _may_place_again(
        self,
        progress: CallProgress,
        fault: PlacementFault,
    ) -> bool:
        """Return whether a call may be placed again after a fault.

        A blocked call is not, since all targets refuse it. A call that was
        not sent to the target is placed again without the retry budget. A
        call that may have run is placed again only if its route is
        idempotent.
        """
        if fault.kind == 'blocked':
            return False
        if fault.not_run and not fault.arrived:
            return True
        if not fault.not_run and not progress.call.route.idempotent:
            return False
        return self._may_retry(progress)

    def _may_retry(self, progress: CallProgress) -> bool:
        if progress.arrivals >= progress.call.route.max_attempts:
            return False
        if progress.left_ms() < MIN_LEFT_MS:
            return False
        granted = self.retries.try_acquire(progress.service)
        self.log.record_retry(granted=granted)
        return granted

    def _is_final(self, progress: CallProgress, answer: TargetAnswer) -> bool:
        """Return whether an answer goes to the caller.

        The first answer with a server error is retried if the route is
        idempotent and the retry budget allows it.
        """
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return True
        if not progress.call.route.idempotent:
            return True
        if progress.failed_answer is not None:
            return True
        # Kept while the retry runs, since it may bring no other answer.
        progress.failed_answer = answer
        self._local.budget.hold(len(answer.body))
        return not self._may_retry(progress)

    def _unanswered(
        self,
        progress: CallProgress,
        reason: str,
    ) -> UnansweredCall:
        """Return the error for a call that ends without an answer.

        The status is 503 only if it is certain that the call did not run.
        """
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if progress.possible_runs or progress.may_run:
            status = HTTPStatus.BAD_GATEWAY
            if progress.timed_out:
                status = HTTPStatus.GATEWAY_TIMEOUT
        self.log.record_end(progress, status, reason)
        return UnansweredCall(status, reason, retry_after_s(progress))


def _call_open(
    progress: CallProgress,
    offer: Offer,
    chooser: TargetChooser,
    *,
    crosses_link: bool,
) -> CallOpen:
    """Return the message that opens a call at a target.

    Its times are relative to the receipt at the target's node, so the round
    trip is subtracted. A large body that crosses a link may wait until the
    run would not end within the objective any more.
    """
    call = progress.call
    target = offer.target
    left_ms = progress.left_ms() - chooser.distances.round_trip_ms(target)
    useful_ms = progress.useful_ms() - chooser.distances.round_trip_ms(target)
    longest_ms = offer.max_wait_ms
    if crosses_link:
        longest_ms = in_time_ms(progress)
        useful_ms = longest_ms - chooser.distances.round_trip_ms(target)
    max_wait_ms = min(
        min(useful_ms, left_ms) - chooser.run_ms(target),
        longest_ms,
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
        max_wait_ms=max(max_wait_ms, 0),
        confirm=not call.route.idempotent,
        body=call.body,
        more=False,
        account=call.account.name if call.account else '',
        body_bytes=0,
        repeat=False,
    )
