"""One move in virtual time, with the daemon's own decision code."""

import asyncio
from functools import partial
from typing import Final

from mustardspur_control.move_driver import MoveDriver
from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.record import Record
from mustardspur_core.state import MoveState
from mustardspur_core.wire import encode_frame

from benchmarks.moves.kinds import Kind
from benchmarks.moves.layout import usual_calls
from benchmarks.moves.mesh import FakeMesh
from benchmarks.moves.nodes import FakeNode
from benchmarks.moves.strategies import Strategy
from benchmarks.moves.traffic import Traffic
from benchmarks.moves.users import UserLoad

START_S: Final = 1_800_000_000.0
LENGTH_PREFIX_BYTES: Final = 4
# Time after the stated one at which a session is given up.
OVERTIME_S: Final = 60


class Case(Record):
    """What a session is about."""

    __slots__ = ('user', 'kind', 'rate', 'seed', 'strategy')
    user: UserLoad
    kind: Kind
    rate: float
    seed: int
    strategy: Strategy


class Outcome(Record):
    """How a session ended.

    Parameters
    ----------
    state : str
        State of the move at the end.
    in_time : bool
        Whether it ended by its stated time.
    ended_s : float
        Seconds from the start to the end.
    harmed, usual_calls : float
        Calls that the new version's fault harmed, and all calls of a move.
    fault_to_no_traffic_s : float
        Seconds from the first harmed call to the last call of the new
        version, 0 without a harmed call.
    control_bytes : int
        Size of all reports, cut-offs and steps.
    reason : str
        Reason of the last step.
    """

    __slots__ = (
        'state',
        'in_time',
        'ended_s',
        'harmed',
        'usual_calls',
        'fault_to_no_traffic_s',
        'control_bytes',
        'reason',
    )
    state: str
    in_time: bool
    ended_s: float
    harmed: int
    usual_calls: float
    fault_to_no_traffic_s: float
    control_bytes: int
    reason: str


class Session:
    """Nodes, a leader and traffic, one second at a time."""

    def __init__(self, case: Case) -> None:
        """Build the mesh of a case."""
        self.now_s = START_S
        self.control_bytes = 0
        self.harmed = 0
        self.length_s = case.user.policy.within_s or 0
        self.mesh = FakeMesh(case.user, START_S, START_S + self.length_s)
        self.driver = MoveDriver(
            self.mesh,
            self.mesh,
            self.mesh,
            self._send_to_nodes,
            self._clock,
            case.strategy.decide,
        )
        self._case = case
        self._cuts_off = case.strategy.cuts_off
        self._first_harm_s: float | None = None
        self._last_new_s = START_S
        self._traffic = Traffic(case.user, case.kind, case.rate, case.seed)
        self.nodes = {
            centre: FakeNode(
                case.user, centre, partial(self._send, centre), self._clock
            )
            for centre in case.user.servers
        }
        self._queue: list[tuple[float, Outcomes | CutOff]] = []

    def is_over(self) -> bool:
        """Whether nothing changes any more."""
        if self.now_s > START_S + self.length_s + OVERTIME_S:
            return True
        state = self.mesh.move.state
        if state == MoveState.TAKEN_BACK:
            return self.now_s > self._last_new_s + 1
        return state == MoveState.DONE

    async def second(self) -> None:
        """Run one second."""
        for node in self.nodes.values():
            if not self._is_isolated(node.centre):
                node.update(self.mesh.config(self._case.user.service))
        self._make_calls()
        for ticking in self.nodes.values():
            ticking.guard.tick()
        self.now_s += 1
        self._change_leader()
        self._deliver()
        await self.driver.round()

    def outcome(self) -> Outcome:
        """Return how the session ended."""
        move = self.mesh.move
        first_harm_s = self._first_harm_s or self._last_new_s + 1
        return Outcome(
            state=move.state,
            in_time=self.now_s <= move.by_s,
            ended_s=self.now_s - START_S,
            harmed=self.harmed,
            usual_calls=usual_calls(
                self._case.user, self._case.rate, self.length_s
            ),
            fault_to_no_traffic_s=self._last_new_s + 1 - first_harm_s,
            control_bytes=self.control_bytes + self.mesh.entry_bytes,
            reason=move.reason,
        )

    def _clock(self) -> float:
        return self.now_s

    def _part(self) -> float:
        return (self.now_s - START_S) / self.length_s

    def _make_calls(self) -> None:
        drawn = self._traffic.calls(
            self.now_s - START_S,
            self.length_s,
            [node.share(self._cuts_off) for node in self.nodes.values()],
        )
        for calls in drawn:
            calls.tally = self._case.strategy.seen(calls.tally)
            self.nodes[calls.cell.target.data_centre].count(calls)
        self.harmed += self._traffic.harmed
        if self._traffic.new_calls:
            self._last_new_s = self.now_s
        if self._traffic.harmed and self._first_harm_s is None:
            self._first_harm_s = self.now_s

    def _send(self, centre: str, message: Outcomes | CutOff) -> None:
        dropped = isinstance(message, CutOff) and not self._cuts_off
        if not (dropped or self._is_isolated(centre)):
            self._count(message, 1)
            arrival_s = self.now_s + self._traffic.conditions.lag_s
            self._queue.append((arrival_s, message))

    def _deliver(self) -> None:
        due = [message for at_s, message in self._queue if at_s < self.now_s]
        self._queue = [row for row in self._queue if row[0] >= self.now_s]
        for message in due:
            if isinstance(message, CutOff):
                self.driver.accept_cut_off(message)
            else:
                self.driver.collect(message)

    def _send_to_nodes(self, cut_off: CutOff) -> None:
        self._count(cut_off, len(self.nodes))
        for node in self.nodes.values():
            if not self._is_isolated(node.centre):
                node.guard.accept_cut_off(cut_off)

    def _count(self, message: Outcomes | CutOff, copies: int) -> None:
        size = len(encode_frame(message)) + LENGTH_PREFIX_BYTES
        self.control_bytes += size * copies

    def _change_leader(self) -> None:
        has_leader = self._traffic.conditions.has_leader(self._part())
        if self.mesh.is_leader and not has_leader:
            self.mesh.term += 1
        self.mesh.is_leader = has_leader

    def _is_isolated(self, centre: str) -> bool:
        if centre != list(self.nodes)[-1]:
            return False
        return self._traffic.conditions.is_isolated(self._part())


async def run_session(session: Session) -> Outcome:
    """Run to the end of the move and of the new version's traffic."""
    while not session.is_over():
        await session.second()
    return session.outcome()


def run_case(case: Case) -> Outcome:
    """Run one session and return how it ended."""
    return asyncio.run(run_session(Session(case)))
