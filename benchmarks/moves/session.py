"""One move in virtual time, with the decision code of the daemon."""

import asyncio
from functools import partial
from typing import Final

from mustardspur_control.move_driver import MoveDriver
from mustardspur_core.messages import CutOff, Outcomes
from mustardspur_core.record import Record
from mustardspur_core.state import MoveState
from mustardspur_core.wire import encode_frame

from benchmarks.moves.kinds import MoveKind
from benchmarks.moves.layout import usual_calls
from benchmarks.moves.mesh import FakeMesh
from benchmarks.moves.nodes import FakeNode
from benchmarks.moves.strategies import Strategy
from benchmarks.moves.traffic import Traffic
from benchmarks.moves.users import UserLoad

START_S: Final = 1_800_000_000.0
LENGTH_PREFIX_BYTES: Final = 4
# Time after the deadline of the move at which a session is aborted.
MAX_OVERTIME_S: Final = 60


class Case(Record):
    """Parameters of a session.

    Parameters
    ----------
    user : UserLoad
        User whose service moves.
    kind : MoveKind
        Kind of move.
    rate : float
        Factor on the peak call rate.
    seed : int
        Seed of the random numbers.
    strategy : Strategy
        How the move is decided.
    """

    __slots__ = ('user', 'kind', 'rate', 'seed', 'strategy')
    user: UserLoad
    kind: MoveKind
    rate: float
    seed: int
    strategy: Strategy


class SessionOutcome(Record):
    """Outcome of a session.

    Parameters
    ----------
    state : str
        State of the move at the end.
    in_time : bool
        Whether it ended by its deadline.
    ended_s : float
        Seconds from the start to the end.
    harmed, usual_calls : float
        Calls harmed by the fault of the new version, and calls of a whole
        move at the usual rate.
    fault_to_no_traffic_s : float
        Seconds from the first harmed call to the last call of the new
        version, 0 without a harmed call.
    control_bytes : int
        Bytes of all reports, cut-offs and steps.
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
    """Simulation of nodes, a leader and traffic in steps of one second.

    Parameters
    ----------
    case : Case
        Parameters of the session.
    """

    def __init__(self, case: Case) -> None:
        """Initialise the mesh, the nodes and the traffic."""
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
        self._first_harmed_s: float | None = None
        self._last_new_call_s = START_S
        self._traffic = Traffic(case.user, case.kind, case.rate, case.seed)
        self.nodes = {
            centre: FakeNode(
                case.user, centre, partial(self._send, centre), self._clock
            )
            for centre in case.user.servers
        }
        self._queue: list[tuple[float, Outcomes | CutOff]] = []

    def is_over(self) -> bool:
        """Return whether the session has ended."""
        if self.now_s > START_S + self.length_s + MAX_OVERTIME_S:
            return True
        state = self.mesh.move.state
        if state == MoveState.TAKEN_BACK:
            return self.now_s > self._last_new_call_s + 1
        return state == MoveState.DONE

    async def run_second(self) -> None:
        """Simulate one second."""
        for node in self.nodes.values():
            if not self._is_isolated(node.centre):
                node.update(self.mesh.config(self._case.user.service))
        self._simulate_calls()
        for ticked in self.nodes.values():
            ticked.guard.tick()
        self.now_s += 1
        self._change_leader()
        self._deliver()
        await self.driver.round()

    def outcome(self) -> SessionOutcome:
        """Return the outcome of the session."""
        move = self.mesh.move
        first_harmed_s = self._first_harmed_s or self._last_new_call_s + 1
        return SessionOutcome(
            state=move.state,
            in_time=self.now_s <= move.by_s,
            ended_s=self.now_s - START_S,
            harmed=self.harmed,
            usual_calls=usual_calls(
                self._case.user, self._case.rate, self.length_s
            ),
            fault_to_no_traffic_s=self._last_new_call_s + 1 - first_harmed_s,
            control_bytes=self.control_bytes + self.mesh.entry_bytes,
            reason=move.reason,
        )

    def _clock(self) -> float:
        return self.now_s

    def _elapsed_fraction(self) -> float:
        return (self.now_s - START_S) / self.length_s

    def _simulate_calls(self) -> None:
        drawn_calls = self._traffic.calls(
            self.now_s - START_S,
            self.length_s,
            [node.share(self._cuts_off) for node in self.nodes.values()],
        )
        for calls in drawn_calls:
            calls.outcomes = self._case.strategy.visible_outcomes(
                calls.outcomes
            )
            self.nodes[calls.cell.target.data_centre].record_calls(calls)
        self.harmed += self._traffic.harmed
        if self._traffic.new_calls:
            self._last_new_call_s = self.now_s
        if self._traffic.harmed and self._first_harmed_s is None:
            self._first_harmed_s = self.now_s

    def _send(self, centre: str, message: Outcomes | CutOff) -> None:
        dropped = isinstance(message, CutOff) and not self._cuts_off
        if not (dropped or self._is_isolated(centre)):
            self._count_bytes(message, 1)
            arrival_s = self.now_s + self._traffic.conditions.lag_s
            self._queue.append((arrival_s, message))

    def _deliver(self) -> None:
        due = [message for at_s, message in self._queue if at_s < self.now_s]
        self._queue = [entry for entry in self._queue if entry[0] >= self.now_s]
        for message in due:
            if isinstance(message, CutOff):
                self.driver.accept_cut_off(message)
            else:
                self.driver.collect(message)

    def _send_to_nodes(self, cut_off: CutOff) -> None:
        self._count_bytes(cut_off, len(self.nodes))
        for node in self.nodes.values():
            if not self._is_isolated(node.centre):
                node.guard.accept_cut_off(cut_off)

    def _count_bytes(self, message: Outcomes | CutOff, copies: int) -> None:
        size = len(encode_frame(message)) + LENGTH_PREFIX_BYTES
        self.control_bytes += size * copies

    def _change_leader(self) -> None:
        has_leader = self._traffic.conditions.has_leader(
            self._elapsed_fraction()
        )
        if self.mesh.is_leader and not has_leader:
            self.mesh.term += 1
        self.mesh.is_leader = has_leader

    def _is_isolated(self, centre: str) -> bool:
        if centre != list(self.nodes)[-1]:
            return False
        return self._traffic.conditions.is_isolated(self._elapsed_fraction())


async def run_session(session: Session) -> SessionOutcome:
    """Run a session to its end and return its outcome.

    A move that is taken back ends with the last call of the new version.
    """
    while not session.is_over():
        await session.run_second()
    return session.outcome()


def run_case(case: Case) -> SessionOutcome:
    """Run the session of a case and return its outcome."""
    return asyncio.run(run_session(Session(case)))
