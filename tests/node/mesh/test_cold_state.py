"""Tests of the bound on the calls to a cold target.

The target accepts 8.5 calls a second while it is cold; it must never get more
than 8.5 x 1.5 + 8 in one second. Calls are offered at 80 a second.
"""

import asyncio
import random
from contextlib import suppress
from typing import Final

import pytest
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import ServiceRule
from mustardspur_core.mesh.packing import encode_table, table_delta
from mustardspur_core.record import replaced
from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.chooser import TargetChooser
from mustardspur_node.mesh.cold_state import ColdState
from mustardspur_node.mesh.confirmation import confirm_target
from mustardspur_node.mesh.reports import ReportStore
from mustardspur_node.mesh.target_checks import TargetChecks
from mustardspur_node.mesh.view import MeshView

from tests.core.mesh.builders import route, table, target
from tests.node.mesh.builders import (
    call_open,
    local_target,
    node_settings,
    target_report,
    waiting_request,
)
from tests.node.stand_ins.scripted import HEALTHY, run_scripted
from tests.support.virtual_time import in_virtual_time, ticks, virtual_now_s

PER_S: Final = 8.5
BOUND: Final = PER_S * 1.5 + 8
OFFERED_PER_S: Final = 80
COLD_MS: Final = 3000.0
RULE: Final = ServiceRule(
    name='forms',
    health_path='/healthz',
    max_connections=100,
    cold_ms=COLD_MS,
    cold_per_s=PER_S,
)
_COLD: Final = HEALTHY.replace(
    b'\r\n\r\n', b'\r\nx-mustardspur-cold-ms: 2500\r\n\r\n'
)


def _bounded(cold: ColdState) -> None:
    cold.rule_of = {'forms': RULE}.get
    cold.apply_rule('forms')


def _admission(slots: int = 9) -> AdmissionControl:
    admission = AdmissionControl()
    admission.open = True
    admission.resize(slots)
    _bounded(admission.capacity.cold)
    return admission


def _state(admission: AdmissionControl, cold_ms: float) -> None:
    admission.capacity.cold.record_statement(cold_ms, virtual_now_s(), 'report')


async def _call(admission: AdmissionControl, sent_s: list[float]) -> None:
    with suppress(PlacementFault):
        async with admission.admitted(waiting_request(1), 140.0):
            sent_s.append(virtual_now_s())
            await asyncio.sleep(0.06)


async def _offer(
    admission: AdmissionControl, length_s: float, sent_s: list[float]
) -> None:
    async with asyncio.TaskGroup() as group:
        async for _ in ticks(
            round(OFFERED_PER_S * length_s), 1 / OFFERED_PER_S
        ):
            group.create_task(_call(admission, sent_s))


def _most_in_a_second(times_s: list[float]) -> int:
    return max(
        sum(start_s <= each <= start_s + 1 for each in times_s)
        for start_s in times_s
    )


@in_virtual_time
async def test_bound_holds_from_the_first_call() -> None:
    """Guards against a burst to a target that has just started."""
    admission = _admission()
    _state(admission, COLD_MS)
    sent_s: list[float] = []
    await _offer(admission, 2.9, sent_s)
    assert _most_in_a_second(sent_s) <= PER_S + 4
    assert len(sent_s) >= PER_S * 2.9 - 1
    sent_s.clear()
    _state(admission, 0)
    await _offer(admission, 0.1, sent_s)
    assert len(sent_s) == 8


class _TurnsColdAt3:
    """A target that turns cold at 3 s and answers queries after 6 ms."""

    def __init__(self, cold: ColdState) -> None:
        self.cold = cold
        self.queries_s: list[float] = [0]
        cold.on_query_wanted = self.query

    def query(self) -> None:
        now_s = virtual_now_s()
        if now_s >= self.queries_s[-1] + 0.05:
            self.queries_s.append(now_s)
            asyncio.get_running_loop().call_later(0.006, self.state, now_s)

    def state(self, asked_s: float) -> None:
        left_ms = (6 - asked_s) * 1000 if asked_s >= 3 else 0
        self.cold.record_statement(left_ms, asked_s, 'answer')


@pytest.mark.parametrize('report_delay_s', [0.1, 0.7, 1.5])
@in_virtual_time
async def test_target_turns_cold_under_load(report_delay_s: float) -> None:
    """Guards against calls of a full load to a target that has turned cold
    and whose report arrives up to 1.5 s later, and against needless queries.
    """
    admission = _admission()
    scripted = _TurnsColdAt3(admission.capacity.cold)
    report_s = 3 + report_delay_s
    asyncio.get_running_loop().call_at(report_s, scripted.state, report_s)
    sent_s: list[float] = []
    await _offer(admission, 5.9, sent_s)
    after_s = [each for each in sent_s if each >= 3]
    assert len(sent_s) - len(after_s) >= 0.97 * OFFERED_PER_S * 3
    assert len(scripted.queries_s) <= 8 * 3
    assert _most_in_a_second(after_s) <= BOUND
    assert len(after_s) >= PER_S * 1.5


@in_virtual_time
async def test_bound_holds_without_answers_to_queries() -> None:
    """Guards against a target that turns cold and answers no query: without a
    statement it gets no more calls than a cold target.
    """
    admission = _admission()
    sent_s: list[float] = []
    await _offer(admission, 3, sent_s)
    assert _most_in_a_second(sent_s) <= BOUND
    assert len(sent_s) >= 2.5 * PER_S


@in_virtual_time
async def test_calls_before_the_first_report_count() -> None:
    """Guards against a full burst after the calls that were sent before the
    report of the cold time.
    """
    admission = _admission()
    sent_s: list[float] = []
    await _offer(admission, 0.15, sent_s)
    _state(admission, COLD_MS)
    await _offer(admission, 2, sent_s)
    assert _most_in_a_second(sent_s) <= PER_S + 4


@pytest.mark.parametrize('stated_per_s', [3.0, 40.0])
@in_virtual_time
async def test_lower_of_two_limits_applies(stated_per_s: float) -> None:
    """Guards against a cold bound that lifts a lower stated rate limit, or the
    reverse.
    """
    admission = _admission()
    _state(admission, 10_000)
    admission.apply_rate_limit(stated_per_s, virtual_now_s())
    lower_per_s = min(stated_per_s, PER_S)
    sent_s: list[float] = []
    await _offer(admission, 8, sent_s)
    assert 8 * lower_per_s - 2 <= len(sent_s) <= 8.2 * lower_per_s + 4
    load = admission.load
    assert load.slots * 1000 / load.run_ms == pytest.approx(lower_per_s, 0.01)


@in_virtual_time
async def test_nothing_changes_without_a_bound() -> None:
    """Guards against limits, queries and suspicion at services that state no
    bound.
    """
    admission = _admission()
    cold = admission.capacity.cold
    cold.apply_rule('stamps')
    cold.on_query_wanted = pytest.fail
    _state(admission, COLD_MS)
    cold.suspect('unreachable')
    sent_s: list[float] = []
    await _offer(admission, 2, sent_s)
    assert len(sent_s) == 2 * OFFERED_PER_S
    assert cold.remaining_ms == pytest.approx(1000, abs=70)


@in_virtual_time
async def test_newer_statement_replaces_the_cold_time() -> None:
    """Guards against an answer from before a suspicious event that lifts the
    bound, and against a target that stays cold after it states otherwise.
    """
    cold = ColdState()
    _bounded(cold)
    await asyncio.sleep(1)
    announced: list[str] = []
    cold.on_turned_cold = lambda: announced.append('cold')
    cold.suspect('broken')
    cold.record_statement(0, 0.9, 'answer')
    assert cold.remaining_ms == COLD_MS
    cold.record_statement(0, 1.0, 'report')
    assert not cold.is_cold
    cold.suspect('broken')
    assert not announced
    cold.record_statement(700, 1.0, 'answer')
    cold.record_statement(900, 0.5, 'answer')
    assert cold.remaining_ms == pytest.approx(900)
    assert announced == ['cold']


@in_virtual_time
async def test_restart_with_a_new_sequence_is_suspected() -> None:
    """Guards against a target that restarts under the same identity without a
    start time, whose reports look older than the stored one.
    """
    reports = ReportStore('10.0.0.5:9000')
    _bounded(reports.cold)
    reports.accept(target_report(born=0, sequence=80))
    assert not reports.accept(target_report(born=0, sequence=1, cold_ms=2900.0))
    assert reports.cold.is_limiting


def _view(*rules: ServiceRule) -> MeshView:
    view = MeshView()
    described = table(1, route('drafts'))
    services = described.services | {rule.name: rule for rule in rules}
    rows = encode_table(replaced(described, services=services))
    view.apply_table(table_delta(None, 0, rows, 1))
    return view


async def _ignore(_: object) -> None:
    """Do nothing when the call may run."""


@pytest.mark.parametrize(
    ('health', 'cold_ms'),
    [
        (_COLD, 2500),
        (HEALTHY, COLD_MS),
        (_COLD.replace(b'2500', b'0'), 0),
    ],
)
async def test_broken_connection_is_followed_by_one_query(
    health: bytes, cold_ms: float
) -> None:
    """Guards against a target that restarts under the same identity and gets
    its full load, against more queries than are needed, and against a bound
    that stays after a full target has reset a connection.
    """
    async with run_scripted((b'', 'reset')) as (address, scripted):
        scripted.health = health
        local = local_target(address)
        checks = TargetChecks(local, _view(RULE))
        cold = local.reports.cold
        with pytest.raises(PlacementFault, match='broke'):
            await local.run(call_open('r1'), _ignore)
        assert cold.is_limiting
        with suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await checks.run()
        assert checks.queries == scripted.health_checks == 1
        assert cold.remaining_ms == pytest.approx(cold_ms, abs=300)
        assert not local.admission.capacity.running


async def test_node_that_restarts_learns_the_cold_time() -> None:
    """Guards against a burst of a node that has just restarted, and against a
    new target at the address that is taken for a warm one.
    """
    async with run_scripted() as (address, scripted):
        scripted.health = _COLD
        local = local_target(address)
        view = _view(RULE)
        checks = TargetChecks(local, view)
        await confirm_target(local, view)
        assert not checks.queries
        assert local.reports.cold.is_limiting
        local.reports.accept(target_report(address=address, id='t2', born=2000))
        local.refresh()
        assert not local.reports.cold.is_cold
        local.reports.accept(
            target_report(address=address, id='t3', born=3000, cold_ms=900)
        )
        local.refresh()
        assert local.admission.capacity.limit_per_s == PER_S


@in_virtual_time
async def test_nodes_share_the_bound_of_an_announced_target() -> None:
    """Guards against 60 nodes of a data centre that send their calls to a
    returning target at once, 300 calls a second in all.
    """
    view = _view(RULE)
    cold_target = target('0', service='forms', cold_ms=COLD_MS)
    for number in range(60):
        node = target(str(number), service='forms')
        view.targets_by_node[node.node] = node
    choosers = [
        TargetChooser(node_settings(), random.Random(seed))
        for seed in range(60)
    ]
    for each in choosers:
        each.cold.use_view(view)
        each.cold.record([cold_target])
    chosen_s: list[float] = []
    async for _ in ticks(14, 0.2):
        chosen_s.extend(
            virtual_now_s()
            for chooser in choosers
            if chooser.choose([cold_target], 300.0, 200.0)
        )
    assert _most_in_a_second(chosen_s) <= BOUND
    assert len(chosen_s) >= PER_S
    assert choosers[0].expected_ms(cold_target) >= 1000 / PER_S


@in_virtual_time
async def test_cold_report_ends_with_cold_time() -> None:
    """Guards against a target that gets no calls after it has become warm,
    since its last report states the capacity that it had while cold.
    """
    chooser = TargetChooser(node_settings(), random.Random(1))
    chooser.cold.use_view(_view(RULE))
    cold_target = target('0', service='forms', cold_ms=COLD_MS)
    warm_target = target('1', service='forms')
    chooser.cold.record([cold_target, warm_target])
    warm = TargetLoad(
        running=0,
        waiting=0,
        slots=4,
        run_ms=20,
        failure_rate=0,
        open=True,
        link_wait_ms=0,
    )
    cold = replaced(warm, slots=1, run_ms=1000 / PER_S)
    chooser.record_load(warm_target.node, warm)
    chooser.record_load(cold_target.node, cold)
    await asyncio.sleep(COLD_MS / 2000)
    assert chooser.choose([cold_target, warm_target], 300.0, 200.0)
    assert chooser.run_ms(cold_target) == cold.run_ms
    await asyncio.sleep(COLD_MS / 1000)
    assert chooser.choose([cold_target, warm_target], 300.0, 200.0)
    assert chooser.run_ms(cold_target) == warm.run_ms
