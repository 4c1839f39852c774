"""In-memory log of a single instance, for tests and single-instance use."""

from expression import Ok, Result
from mustardspur_agreement.ports import (
    Committed,
    ProposalError,
    StateMachine,
)


class LocalLog:
    """Commits each entry at once and stores nothing on disk.

    Parameters
    ----------
    instance : str
        Identifier of the instance, which is always the leader.
    machine : StateMachine
        State machine that applies the entries.

    See Also
    --------
    mustardspur_agreement.ports.CommittedLog : the interface.
    """

    __slots__ = ('_commit_index', '_instance', '_machine')

    def __init__(self, instance: str, machine: StateMachine) -> None:
        """Initialise with an empty log."""
        self._instance = instance
        self._machine = machine
        self._commit_index = 0

    @property
    def is_leader(self) -> bool:
        """Always true."""
        return True

    @property
    def leader(self) -> str | None:
        """This instance."""
        return self._instance

    @property
    def term(self) -> int:
        """Always 1."""
        return 1

    @property
    def commit_index(self) -> int:
        """Index of the newest entry."""
        return self._commit_index

    def commit(self, entry: bytes) -> Committed:
        """Commit and apply an entry without waiting."""
        self._commit_index += 1
        answer = self._machine.apply(self._commit_index, entry)
        return Committed(
            index=self._commit_index,
            term=self.term,
            holders=[],
            answer=answer,
        )

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit and apply an entry."""
        return Ok(self.commit(entry))

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return the index of the newest entry, which is always applied."""
        return Ok(self._commit_index)
