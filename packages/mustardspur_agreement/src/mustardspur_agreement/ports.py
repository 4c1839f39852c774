"""Interfaces between the replicated log and the rest of an instance."""

from typing import Protocol

from expression import Result
from mustardspur_core.record import Record


class ProposalError(Record):
    """Why an entry was not committed, or may not have been.

    Parameters
    ----------
    kind : str
        ``not_leader``, ``no_quorum``, ``disk`` or ``unknown``; only with
        ``unknown`` the entry may still be committed.
    detail : str
        Description for the operator.
    leader : str or None
        Identifier of the leader, if known.
    """

    __slots__ = ('kind', 'detail', 'leader')
    kind: str
    detail: str
    leader: str | None


class Committed(Record):
    """A committed entry and what applying it returned."""

    __slots__ = ('index', 'answer')
    index: int
    answer: object


class CommittedLog(Protocol):
    """What a control instance needs of the replicated log."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads the current term."""

    @property
    def leader(self) -> str | None:
        """Identifier of the current leader, if known."""

    @property
    def term(self) -> int:
        """Current term."""

    @property
    def commit_index(self) -> int:
        """Highest committed index that this instance knows of."""

    async def propose(self, entry: bytes) -> Result[Committed, ProposalError]:
        """Commit an entry on a quorum and apply it."""

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return an index that is current now, once it is applied here."""


class StateMachine(Protocol):
    """What the replicated log needs of the store."""

    def apply(self, index: int, entry: bytes) -> object:
        """Apply a committed entry; must be deterministic."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the whole state by a snapshot taken at an index."""
