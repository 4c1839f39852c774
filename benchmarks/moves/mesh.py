"""In-memory fake of the log, the store and the reports of nodes."""

from collections.abc import Callable

from expression import Error, Ok, Result
from mustardspur_agreement.ports import Committed, ProposalError
from mustardspur_control.move_record import InForce
from mustardspur_core.edits import StepMove
from mustardspur_core.profile import (
    CallClass,
    Profile,
    RetryPolicy,
    TargetSet,
)
from mustardspur_core.record import replaced
from mustardspur_core.state import Move, MoveState, ServiceConfig
from mustardspur_core.wire import decode_frame

from benchmarks.moves.layout import NEW_VERSION, OLD_VERSION
from benchmarks.moves.users import UserLoad, route_of


class FakeMesh:
    """A replicated log with its store, in one process.

    Parameters
    ----------
    user : UserLoad
        User whose service moves.
    started_s, by_s : float
        Start of the move and the time by which it must end.
    """

    def __init__(self, user: UserLoad, started_s: float, by_s: float) -> None:
        """Initialise with a move at share 0."""
        self.is_leader = True
        self.leader: str | None = 'c1'
        self.term = 1
        self.commit_index = 7
        self.entry_bytes = 0
        self.steps: list[StepMove] = []
        self.waiting: list[str] = []
        self.unreachable: list[str] = []
        self._configs = {
            user.service: ServiceConfig(
                service=user.service,
                index=7,
                number=2,
                profile=profile_of(user),
                moves=[first_move(user, started_s, by_s)],
            )
        }

    @property
    def move(self) -> Move:
        """The newest move."""
        config = next(iter(self._configs.values()))
        return config.moves[-1]

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit immediately, or refuse while there is no leader."""
        if not self.is_leader:
            return Error(
                ProposalError(kind='no_quorum', detail='', leader=None)
            )
        step = decode_frame(entry).body
        assert isinstance(step, StepMove)
        self.commit_index += 1
        self.entry_bytes += len(entry)
        self._apply(step)
        return Ok(
            Committed(index=self.commit_index, term=1, holders=[], answer=None)
        )

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return the commit index."""
        return Ok(self.commit_index)

    def config(self, service: str) -> ServiceConfig | None:
        """Return a service's configuration."""
        return self._configs.get(service)

    def services(self) -> list[str]:
        """Return the names of the services."""
        return list(self._configs)

    def running_moves(self) -> list[Move]:
        """Return the moves that are running or paused."""
        return [
            move
            for config in self._configs.values()
            for move in config.moves
            if move.state in {MoveState.RUNNING, MoveState.PAUSED}
        ]

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Ignore the callback, since the session polls."""

    def in_force(self, service: str, index: int) -> InForce:
        """Report all nodes as in force except `waiting` and `unreachable`."""
        return InForce(
            nodes=['n1'],
            waiting=self.waiting,
            unreachable=self.unreachable,
        )

    def change_move(self, move_id: str, **changes: object) -> None:
        """Change fields of a move, as an operator's order does."""
        for service, config in self._configs.items():
            moves = [
                replaced(move, **changes) if move.id == move_id else move
                for move in config.moves
            ]
            self._configs[service] = replaced(
                config, index=self.commit_index, moves=moves
            )

    def add_move(self, move: Move) -> None:
        """Add a move, as an edit of the profile does."""
        config = self._configs[move.service]
        self.commit_index += 1
        self._configs[move.service] = replaced(
            config, index=self.commit_index, moves=[*config.moves, move]
        )

    def _apply(self, step: StepMove) -> None:
        moves = {move.id: move for move in self.running_moves()}
        move = moves.get(step.move)
        if move is None or move.step != step.expected_step:
            return
        self.steps.append(step)
        self.change_move(
            step.move,
            state=step.state,
            share=step.share,
            reason=step.reason,
            step=move.step + 1,
        )


def first_move(user: UserLoad, started_s: float, by_s: float) -> Move:
    """Return a move at its start."""
    return Move(
        id=f'{user.service}:stable:7',
        service=user.service,
        target_set='stable',
        from_version=OLD_VERSION,
        to_version=NEW_VERSION,
        started_s=started_s,
        by_s=by_s,
        state=MoveState.RUNNING.value,
        share=0,
        step=0,
        reason='',
    )


def profile_of(user: UserLoad) -> Profile:
    """Return the profile that a user's service follows."""
    return Profile(
        name=f'{user.service}-standard',
        target_sets={'stable': TargetSet(version=NEW_VERSION)},
        call_classes={
            'quick': CallClass(
                priority=0, max_in_flight_per_target=4, queue_limit=50
            )
        },
        retries={
            'once': RetryPolicy(attempts=1, budget_ratio=0, hedge_after_ms=0)
        },
        routes=[route_of(load) for load in user.routes],
        move=user.policy,
    )
