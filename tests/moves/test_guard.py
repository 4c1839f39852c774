"""Guards against a node that misses a bad version or cuts off a good one."""

from collections.abc import Callable

import pytest
from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.record import replaced
from mustardspur_core.state import Move, ServiceConfig, Target
from mustardspur_core.wire import encode_frame
from mustardspur_moves import Guard
from mustardspur_node.views import OutcomeSink, ServiceView

from benchmarks.moves.mesh import profile_of
from benchmarks.moves.users import COOPERATIVE, OBRAZAC, UserLoad
from tests.moves.builders import NEW, OLD, START_S, a_move


class _Node:
    """A guard with a fake clock and recorded messages."""

    def __init__(self, user: UserLoad, *moves: Move) -> None:
        self.now_s = START_S + 30
        self.sent: list[Outcomes | CutOff] = []
        self.cut_offs: list[CutOff] = []
        self.guard = Guard(
            'n1', self.sent.append, self.cut_offs.append, lambda: self.now_s
        )
        self.view = ServiceView(
            config=ServiceConfig(
                service='intake',
                index=9,
                number=2,
                profile=profile_of(user),
                moves=list(moves),
            ),
            targets_by_version={NEW: [_target(NEW, 0), _target(NEW, 1)]},
            cut_off_moves=[],
        )
        self.route = user.routes[0].name

    def calls(
        self,
        version: str,
        count: int,
        outcome: str = 'ok',
        place: int = 0,
    ) -> None:
        """Record calls to one target."""
        sink: OutcomeSink = self.guard
        for _ in range(count):
            sink.record_outcome(
                self.view, self.route, _target(version, place), outcome, 12
            )

    def seconds(self, count: int, failing: Callable[[int], int]) -> None:
        """Run seconds with `failing(place)` failures at each new target."""
        for _ in range(count):
            for place in (0, 1):
                self.calls(OLD, 45, place=place)
                self.calls(NEW, 5 - failing(place), place=place)
                self.calls(NEW, failing(place), 'failure', place)
            self.now_s += 1
            self.guard.tick()


def _target(version: str, place: int) -> Target:
    return Target(
        id=f't{place}-{version}',
        service='intake',
        version=version,
        address='127.0.0.1:8000',
        incarnation=1,
        slots=9,
        state='ready',
        node='n1',
        data_centre='erie-toledo',
        region='erie',
    )


@pytest.mark.parametrize(
    ('failing', 'seconds', 'cuts_off'),
    [
        (lambda place: 5, 3, True),
        (lambda place: 1, 9, True),
        (lambda place: 0, 60, False),
        # Only the first target fails, so the version is not at fault.
        (lambda place: 5 * (place == 0), 60, False),
    ],
)
def test_own_evidence_cuts_off(
    failing: Callable[[int], int],
    seconds: int,
    cuts_off: bool,
) -> None:
    """Guards against a cut-off that is missing or without cause."""
    node = _Node(OBRAZAC, a_move())
    node.seconds(seconds, failing)
    assert bool(node.cut_offs) == cuts_off
    assert (a_move().id in node.guard.cut_offs) == cuts_off
    assert any(isinstance(sent, CutOff) for sent in node.sent) == cuts_off


def test_cut_off_stays_in_force() -> None:
    """Guards against a recovered version that gets calls again."""
    node = _Node(OBRAZAC, a_move())
    first = CutOff(move=a_move().id, version=NEW, origin='n9', reason='x')
    node.guard.accept_cut_off(first)
    node.guard.accept_cut_off(replaced(first, origin='n8'))
    node.seconds(60, lambda place: 0)
    assert node.cut_offs == [first]
    assert node.guard.cut_offs == {first.move: first}


def test_cut_off_is_sent_again_while_its_move_is_open() -> None:
    """Guards against a cut-off that no control instance knows any more."""
    node = _Node(OBRAZAC, a_move())
    node.seconds(9, lambda place: 3)
    node.sent.clear()
    node.guard.resend_cut_offs()
    assert [type(sent) for sent in node.sent] == [CutOff]
    node.view = replaced(
        node.view,
        config=replaced(node.view.config, moves=[a_move(state='taken_back')]),
    )
    node.calls(OLD, 1)
    node.sent.clear()
    node.guard.resend_cut_offs()
    assert not node.sent


def test_reports_carry_each_call_once() -> None:
    """Guards against calls that are lost between reports or sent twice."""
    node = _Node(OBRAZAC, a_move())
    node.seconds(7, lambda place: 0)
    reports = [sent for sent in node.sent if isinstance(sent, Outcomes)]
    calls = sum(row.calls for report in reports for row in report.rows)
    assert calls == 7 * 100
    assert {report.move for report in reports} == {a_move().id}


@pytest.mark.parametrize(
    'move',
    [a_move(state='done'), a_move(target_set='other')],
)
def test_calls_outside_of_open_moves_are_not_reported(move: Move) -> None:
    """Guards against reports for ended moves and other target sets."""
    node = _Node(OBRAZAC, move)
    node.seconds(7, lambda place: 0)
    assert not node.sent


def test_moves_are_evaluated_separately() -> None:
    """Guards against a fault of one version that cuts off another."""
    other = a_move(id='intake:stable:3', to_version='9.9.9')
    node = _Node(OBRAZAC, a_move(), other)
    node.seconds(9, lambda place: 5)
    assert list(node.guard.cut_offs) == [a_move().id]


def test_control_bytes_weighing_sends_fewer_bytes() -> None:
    """Guards against a weighing without effect on the report size."""
    sizes = []
    for user in (COOPERATIVE, OBRAZAC):
        node = _Node(user, a_move())
        node.seconds(60, lambda place: 0)
        sizes.append(sum(len(encode_frame(sent)) for sent in node.sent))
    assert sizes[0] < sizes[1] / 2


@pytest.mark.parametrize(('failures', 'reports'), [(1, True), (0, False)])
def test_suspicious_calls_are_reported_early(
    failures: int,
    reports: bool,
) -> None:
    """Guards against delayed reports while a version looks bad."""
    node = _Node(COOPERATIVE, a_move())
    node.seconds(8, lambda place: failures)
    assert any(isinstance(sent, Outcomes) for sent in node.sent) == reports
