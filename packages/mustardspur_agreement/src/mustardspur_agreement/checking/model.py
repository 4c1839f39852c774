"""States of the model: instances, messages in flight and budgets.

All states are immutable and hashable. Instances are named by single letters.
"""

from typing import Final, NamedTuple

NAMES: Final = 'abcdefg'

# Roles of an instance.
FOLLOWER: Final = 0
CANDIDATE: Final = 1
LEADER: Final = 2


class Item(NamedTuple):
    """An entry: its term, and the voters if it changes them."""

    term: int
    voters: tuple[str, ...]


Log = tuple[Item, ...]


class Match(NamedTuple):
    """What a leader knows of a peer: up to where its log matches."""

    peer: str
    last: int
    trusted: bool


class Round(NamedTuple):
    """A barrier that a leader confirms.

    Attributes
    ----------
    requester : str
        The instance that asked; the leader itself for a read.
    commit, last : int
        Commit index and last index of the leader when it was asked.
    required : int
        Number of entries that were committed when the leader was asked.
    acked : tuple of str
        Trusted peers that have answered since.
    """

    requester: str
    commit: int
    last: int
    required: int
    acked: tuple[str, ...]


class Instance(NamedTuple):
    """One instance.

    Attributes
    ----------
    name : str
        Its identifier.
    term, voted_for, trusted : int, str, bool
        The ballot; ``voted_for`` is empty without a vote.
    log : tuple of Item
        The entries on disk.
    commit : int
        The commit index.
    first : tuple of str
        The first voters.
    role : int
        Follower, candidate or leader.
    votes, stood_with : tuple
        The votes of a candidate, and its log when it started the term.
    is_unanimous : bool
        Whether a candidate needs the votes of all voters.
    first_index : int
        Index of a leader's first entry.
    matches : tuple of Match
        What a leader knows of its peers.
    barrier : Round or None
        The barrier that a leader confirms.
    answer : tuple of int or None
        Term and last index of a confirmed leader, for a refill.
    unanimous_term : int
        The newest term in which it voted unanimously without being trusted.
    """

    name: str
    term: int
    voted_for: str
    trusted: bool
    log: Log
    commit: int
    first: tuple[str, ...]
    role: int = FOLLOWER
    votes: tuple[str, ...] = ()
    stood_with: Log = ()
    is_unanimous: bool = False
    first_index: int = 0
    matches: tuple[Match, ...] = ()
    barrier: Round | None = None
    answer: tuple[int, int] | None = None
    unanimous_term: int = 0


class Late(NamedTuple):
    """A request in flight whose sender is no longer candidate or leader."""

    is_append: bool
    sender: str
    term: int
    log: Log
    commit: int
    is_unanimous: bool


class Budget(NamedTuple):
    """How often each event may still take place, and the highest term.

    Attributes
    ----------
    losses, restarts, power_losses : int
        Losses of a disk, of a process, and of a process and its newest commit
        mark.
    proposals, changes, reads : int
        Entries, changes of voters and reads.
    refills : int
        Entries that a leader appends for the refill of a peer.
    parts : int
        Appends that carry only entries from before the leader's election.
    late : int
        Requests that arrive after their sender has stopped or stepped down.
    forgotten : int
        First starts that an instance forgets, as it is stopped before its
        file with the first voters is written.
    terms : int
        The highest term.
    """

    losses: int = 1
    restarts: int = 0
    power_losses: int = 0
    proposals: int = 0
    changes: int = 0
    reads: int = 0
    refills: int = 2
    parts: int = 0
    late: int = 0
    forgotten: int = 0
    terms: int = 2


class Setup(NamedTuple):
    """Instances of a search and the events that it plays.

    Attributes
    ----------
    instances, seeds : int
        Number of instances, and how many of them are the first voters.
    budget : Budget
        The events.
    lists_voters_again : bool
        Whether an instance without files takes the voters from its settings,
        as outside of a mesh, and does not remember its first start. In a mesh
        it then knows no voters.
    min_voters : int
        Number of voters below which none is removed.
    """

    instances: int = 3
    seeds: int = 3
    budget: Budget = Budget()
    lists_voters_again: bool = False
    min_voters: int = 1

    @property
    def names(self) -> str:
        """Names of the instances."""
        return NAMES[: self.instances]

    @property
    def seed_names(self) -> list[str]:
        """Names of the first voters."""
        return list(NAMES[: self.seeds])


class Committed(NamedTuple):
    """A committed entry and the term of the leader that committed it."""

    item: Item
    by_term: int


class State(NamedTuple):
    """State of all instances.

    Attributes
    ----------
    instances : tuple of Instance
        By name.
    committed : tuple of Committed
        The entries that a leader has committed.
    leaders : tuple
        Term and name of each leader there has been.
    late : frozenset of Late
        Requests that may still arrive.
    budget : Budget
        What may still happen.
    acked : int
        Number of committed entries that a leader has acknowledged.
    has_formed : bool
        Whether the voters that remember once were a quorum without any one of
        them, after which a leader acknowledges at once.
    broken : frozenset of str
        The properties that the last action violated.
    """

    instances: tuple[Instance, ...]
    committed: tuple[Committed, ...]
    leaders: tuple[tuple[int, str], ...]
    late: frozenset[Late]
    budget: Budget
    acked: int = 0
    has_formed: bool = False
    broken: frozenset[str] = frozenset()

    def instance(self, name: str) -> Instance:
        """Return an instance by name."""
        return self.instances[NAMES.index(name)]
