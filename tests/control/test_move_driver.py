"""Tests the decisions of the move driver on the leader."""

import pytest
from mustardspur_control.move_driver import MoveDriver
from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.state import Move

from benchmarks.moves.mesh import FakeMesh, first_move
from benchmarks.moves.users import OBRAZAC
from tests.moves.builders import LENGTH_S, NEW, OLD, START_S, a_row

MOVE = first_move(OBRAZAC, START_S, START_S + LENGTH_S)


class _Leader:
    """A driver with a fake log and a manual clock."""

    def __init__(self) -> None:
        self.now_s = START_S
        self.cut_offs: list[CutOff] = []
        self.mesh = FakeMesh(OBRAZAC, START_S, START_S + LENGTH_S)
        self.driver = self.new_driver()

    def new_driver(self) -> MoveDriver:
        """Return a driver as after a restart."""
        return MoveDriver(
            self.mesh,
            self.mesh,
            self.mesh,
            self.cut_offs.append,
            lambda: self.now_s,
        )

    async def run_seconds(self, count: int, failures: int = 0) -> None:
        """Run seconds in which two targets of each version report."""
        while count:
            count -= 1
            self.now_s += 1
            rows = [
                a_row(version=version, target=f't{number}-{version}', **counts)
                for number in (0, 1)
                for version, counts in (
                    (OLD, {'calls': 90, 'failures': 0}),
                    (NEW, {'calls': 10, 'failures': failures}),
                )
            ]
            self.driver.collect(
                Outcomes(move=MOVE.id, step=self.mesh.move.step, rows=rows)
            )
            await self.driver.round()


async def test_good_move_is_done_when_in_force_everywhere() -> None:
    """Guards against a move that is done before all nodes have its step."""
    leader = _Leader()
    leader.mesh.waiting = ['n7']
    await leader.run_seconds(150)
    assert leader.mesh.move.share == 1
    assert leader.mesh.move.state == 'running'
    timed = leader.driver.record(leader.mesh.move).decisions[-1]
    assert timed.decision.reason == 'not in force yet on n7'
    leader.mesh.waiting = []
    leader.mesh.unreachable = ['n8']
    await leader.run_seconds(3)
    assert leader.mesh.move.state == 'done'
    assert leader.mesh.move.reason.endswith('not on n8')


async def test_record_shows_shares_evidence_and_decisions() -> None:
    """Guards against records without the reason why a move waits."""
    leader = _Leader()
    await leader.run_seconds(40)
    record = leader.driver.record(leader.mesh.move)
    assert record.share_by_data_centre == {'erie-toledo': 0.1}
    assert record.counts[f'{NEW}@erie-toledo'].calls == 800
    actions = [timed.decision.action for timed in record.decisions]
    assert actions[:4] == ['raise', 'wait', 'raise', 'wait']
    assert record.decisions[-1].decision.figures['new_calls'] > 0


async def test_cut_off_takes_back_at_once() -> None:
    """Guards against a cut-off that waits for the next decision."""
    leader = _Leader()
    await leader.run_seconds(5)
    cut_off = CutOff(move=MOVE.id, version=NEW, origin='n3', reason='bad')
    leader.driver.accept_cut_off(cut_off)
    leader.driver.accept_cut_off(cut_off)
    assert leader.cut_offs == [cut_off]
    await leader.driver.round()
    assert leader.mesh.move.state == 'taken_back'
    assert 'cut off by n3' in leader.mesh.move.reason


@pytest.mark.parametrize('orders_first', [True, False])
async def test_take_back_survives_a_lost_quorum(orders_first: bool) -> None:
    """Guards against the loss of a cut-off while no step commits."""
    leader = _Leader()
    await leader.run_seconds(35)
    leader.mesh.is_leader = False
    cut_off = CutOff(move=MOVE.id, version=NEW, origin='n3', reason='bad')
    leader.driver.accept_cut_off(cut_off)
    await leader.run_seconds(5)
    assert leader.mesh.move.state == 'running'
    leader.mesh.is_leader = True
    leader.mesh.term += 1
    if orders_first:
        leader.mesh.change_move(MOVE.id, state='paused')
    await leader.run_seconds(1)
    assert leader.mesh.move.state == 'taken_back'


async def test_bad_version_is_cut_off_everywhere() -> None:
    """Guards against cut-offs that are only sent after a commit."""
    leader = _Leader()
    await leader.run_seconds(12, failures=5)
    assert leader.mesh.move.state == 'taken_back'
    assert [cut_off.origin for cut_off in leader.cut_offs] == ['c1']


async def test_new_leader_asks_for_evidence_again() -> None:
    """Guards against a raise without evidence after a change of leader."""
    leader = _Leader()
    await leader.run_seconds(55)
    share = leader.mesh.move.share
    assert share >= 1 / 25
    leader.driver = leader.new_driver()
    leader.now_s += 30
    await leader.driver.round()
    assert leader.mesh.move.share == share
    await leader.run_seconds(15)
    assert leader.mesh.move.share > share


async def test_new_term_drops_the_evidence() -> None:
    """Guards against decisions on evidence from an earlier term."""
    leader = _Leader()
    await leader.run_seconds(20)
    leader.mesh.term += 1
    leader.now_s += 60
    await leader.driver.round()
    assert not leader.driver.record(leader.mesh.move).counts


async def test_paused_move_keeps_its_share() -> None:
    """Guards against a raise while an operator has paused the move."""
    leader = _Leader()
    await leader.run_seconds(35)
    share = leader.mesh.move.share
    leader.mesh.change_move(MOVE.id, state='paused')
    await leader.run_seconds(100)
    assert leader.mesh.move.share == share
    leader.mesh.change_move(MOVE.id, state='running')
    await leader.run_seconds(50)
    assert leader.mesh.move.share > share


async def test_later_move_replaces_an_earlier_one() -> None:
    """Guards against two running moves of the same target set."""
    leader = _Leader()
    await leader.run_seconds(5)
    newer = Move(
        **{name: getattr(MOVE, name) for name in MOVE.__slots__}
        | {'id': 'forms:stable:12', 'to_version': '1.2.0'},
    )
    leader.mesh.add_move(newer)
    await leader.run_seconds(2)
    assert [step.state for step in leader.mesh.steps] == [
        'running',
        'taken_back',
        'running',
    ]
    assert [move.id for move in leader.mesh.running_moves()] == [newer.id]


async def test_reports_of_unknown_moves_are_dropped() -> None:
    """Guards against memory growth from reports of ended moves."""
    leader = _Leader()
    leader.driver.collect(Outcomes(move='x:y:1', step=0, rows=[a_row()]))
    leader.mesh.change_move(MOVE.id, state='done')
    await leader.run_seconds(3)
    assert not leader.driver.record(MOVE).counts
