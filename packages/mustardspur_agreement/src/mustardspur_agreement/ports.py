"""Interfaces between the replicated log and the rest of an instance."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from random import Random
from typing import Protocol

from expression import Result
from mustardspur_core.record import Record
from mustardspur_core.wire import Frame


class ProposalError(Record):
    """Reason why an entry was not, or may not have been, committed.

    Parameters
    ----------
    kind : str
        ``not_leader``, ``no_quorum``, ``disk`` or ``unknown``; only with
        ``unknown`` the entry may still be committed. A change of voters can
        also be ``busy``.
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
    """Index of a committed entry and the answer of the state machine.

    Parameters
    ----------
    index, term : int
        Index and term of the entry.
    holders : list of str
        Voters that are known to have stored the entry durably.
    answer : object
        Answer of the state machine.
    """

    __slots__ = ('index', 'term', 'holders', 'answer')
    index: int
    term: int
    holders: list[str]
    answer: object


class CommittedLog(Protocol):
    """Interface of the replicated log to a control instance."""

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
        """Return a confirmed read index once it is applied locally."""


class StateMachine(Protocol):
    """Interface of the store to the replicated log."""

    def apply(self, index: int, entry: bytes) -> object:
        """Apply a committed entry; must be deterministic."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, index: int, snapshot: bytes) -> None:
        """Replace the whole state by a snapshot taken at an index."""


class Channel(Protocol):
    """A connection to another instance, as `FrameStream` provides it."""

    def enqueue(self, body: Record, request_id: int = 0) -> None:
        """Queue a message for sending without waiting."""

    async def send(self, body: Record, request_id: int = 0) -> None:
        """Send a message and wait until the buffer is below its limit."""

    async def receive(self) -> Frame:
        """Wait for the next frame."""

    def close(self) -> None:
        """Close the connection without waiting."""


class Dial(Protocol):
    """Opens a connection to ``ip:port`` for the duration of a block."""

    def __call__(
        self,
        address: str,
        timeout_s: float,
    ) -> AbstractAsyncContextManager[Channel]:
        """Connect, or raise OSError."""


class Disk(Protocol):
    """Files of one folder; contents are durable only after a sync."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes | None:
        """Return the contents of a file, None if there is none."""

    def write(self, name: str, offset: int, content: bytes) -> None:
        """Write at an offset, creating the file if needed."""

    def cut(self, name: str, length: int) -> None:
        """Shorten a file to a length."""

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    def rename(self, name: str, new_name: str) -> None:
        """Replace one file by another, atomically."""

    def remove(self, name: str) -> None:
        """Remove a file, if there is one."""

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""


class Offload(Protocol):
    """Runs a blocking function without blocking the event loop."""

    async def __call__(self, function: Callable[[], None]) -> None:
        """Return once the function has returned; its errors are raised."""


class Environment(Record):
    """External resources of the replicated log, replaceable in tests.

    Parameters
    ----------
    dial : Dial
        Opens connections to peers.
    disk : Disk
        The folder for the log's files.
    offload : Offload
        Runs blocking file operations, one at a time and in order.
    random : Random
        Source of the randomised election timeouts.
    snapshot_entries : int
        Entries between two snapshots.
    remembers_first_start : bool
        Whether the data folder states durably that it was there at the first
        start of the whole system. A log without files then means that this
        instance has acknowledged nothing, rather than that it lost its disk.
    """

    __slots__ = (
        'dial',
        'disk',
        'offload',
        'random',
        'snapshot_entries',
        'remembers_first_start',
    )
    dial: Dial
    disk: Disk
    offload: Offload
    random: Random
    snapshot_entries: int
    remembers_first_start: bool
