"""Guards against a leader that drives a move wrongly."""

import pytest
from mustardspur_control.move_driver import MoveDriver
from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.state import Move

from benchmarks.moves.mesh import FakeMesh, first_move
from benchmarks.moves.users import OBRAZAC
from tests.moves.builders import LENGTH_S, NEW, OLD, START_S, a_row

MOVE = first_move(OBRAZAC, START_S, START_S + LENGTH_S)


class _Leader:
    """A driver with a fake log and a clock of its own."""

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

    async def seconds(self, count: int, failures: int = 0) -> None:
        """Run seconds in which two targets of each version report."""
        while count:
            count -= 1
            self.now_s += 1
            rows = [
                a_row(version=version, target=f't{place}-{version}', **counts)
                for place in (0, 1)
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
    """Guards against reporting a move as done too early."""
    leader = _Leader()
    leader.mesh.waiting = ['n7']
    await leader.seconds(150)
    assert leader.mesh.move.share == 1
    assert leader.mesh.move.state == 'running'
    note = leader.driver.record(leader.mesh.move).decisions[-1]
    assert note.decision.reason == 'not in force yet on n7'
    leader.mesh.waiting = []
    leader.mesh.unreachable = ['n8']
    await leader.seconds(3)
    assert leader.mesh.move.state == 'done'
    assert leader.mesh.move.reason.endswith('not on n8')


async def test_record_shows_shares_evidence_and_decisions() -> None:
    """Guards against an operator who cannot see why a move waits."""
    leader = _Leader()
    await leader.seconds(40)
    record = leader.driver.record(leader.mesh.move)
    assert record.share_by_data_centre == {'erie-toledo': 0.1}
    assert record.counts[f'{NEW}@erie-toledo'].calls == 800
    actions = [note.decision.action for note in record.decisions]
    assert actions[:4] == ['raise', 'wait', 'raise', 'wait']
    assert record.decisions[-1].decision.figures['new_calls'] > 0


async def test_cut_off_takes_back_at_once() -> None:
    """Guards against a cut-off that waits for the next decision."""
    leader = _Leader()
    await leader.seconds(5)
    cut_off = CutOff(move=MOVE.id, version=NEW, origin='n3', reason='bad')
    leader.driver.accept_cut_off(cut_off)
    leader.driver.accept_cut_off(cut_off)
    assert leader.cut_offs == [cut_off]
    await leader.driver.round()
    assert leader.mesh.move.state == 'taken_back'
    assert 'cut off by n3' in leader.mesh.move.reason


@pytest.mark.parametrize('orders_first', [True, False])
async def test_take_back_survives_a_lost_quorum(orders_first: bool) -> None:
    """Guards against a cut-off that is forgotten while no step commits."""
    leader = _Leader()
    await leader.seconds(35)
    leader.mesh.is_leader = False
    cut_off = CutOff(move=MOVE.id, version=NEW, origin='n3', reason='bad')
    leader.driver.accept_cut_off(cut_off)
    await leader.seconds(5)
    assert leader.mesh.move.state == 'running'
    leader.mesh.is_leader = True
    leader.mesh.term += 1
    if orders_first:
        leader.mesh.change_move(MOVE.id, state='paused')
    await leader.seconds(1)
    assert leader.mesh.move.state == 'taken_back'


async def test_bad_version_is_cut_off_everywhere() -> None:
    """Guards against nodes that wait for the log to end bad traffic."""
    leader = _Leader()
    await leader.seconds(12, failures=5)
    assert leader.mesh.move.state == 'taken_back'
    assert [cut_off.origin for cut_off in leader.cut_offs] == ['c1']


async def test_new_leader_asks_for_evidence_again() -> None:
    """Guards against a raise on evidence that a restart has lost."""
    leader = _Leader()
    await leader.seconds(55)
    share = leader.mesh.move.share
    assert share >= 1 / 25
    leader.driver = leader.new_driver()
    leader.now_s += 30
    await leader.driver.round()
    assert leader.mesh.move.share == share
    await leader.seconds(15)
    assert leader.mesh.move.share > share


async def test_new_term_drops_the_evidence() -> None:
    """Guards against reports from before a pause of unknown length."""
    leader = _Leader()
    await leader.seconds(20)
    leader.mesh.term += 1
    leader.now_s += 60
    await leader.driver.round()
    assert not leader.driver.record(leader.mesh.move).counts


async def test_paused_move_keeps_its_share() -> None:
    """Guards against a rise against an operator's order."""
    leader = _Leader()
    await leader.seconds(35)
    share = leader.mesh.move.share
    leader.mesh.change_move(MOVE.id, state='paused')
    await leader.seconds(100)
    assert leader.mesh.move.share == share
    leader.mesh.change_move(MOVE.id, state='running')
    await leader.seconds(50)
    assert leader.mesh.move.share > share


async def test_later_move_replaces_an_earlier_one() -> None:
    """Guards against two moves that pull one target set apart."""
    leader = _Leader()
    await leader.seconds(5)
    newer = Move(
        **{name: getattr(MOVE, name) for name in MOVE.__slots__}
        | {'id': 'forms:stable:12', 'to_version': '1.2.0'},
    )
    leader.mesh.add_move(newer)
    await leader.seconds(2)
    assert [step.state for step in leader.mesh.steps] == [
        'running',
        'taken_back',
        'running',
    ]
    assert [move.id for move in leader.mesh.running_moves()] == [newer.id]


async def test_reports_of_unknown_moves_are_dropped() -> None:
    """Guards against memory that grows with reports of ended moves."""
    leader = _Leader()
    leader.driver.collect(Outcomes(move='x:y:1', step=0, rows=[a_row()]))
    leader.mesh.change_move(MOVE.id, state='done')
    await leader.seconds(3)
    assert not leader.driver.record(MOVE).counts
