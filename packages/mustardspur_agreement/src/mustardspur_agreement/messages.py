"""Messages between control instances for the replicated log, codes 40 to 69."""

from mustardspur_core.record import Record
from mustardspur_core.wire import message


@message(40)
class PeerGreeting(Record):
    """First frame from a control instance to another."""

    __slots__ = ('instance', 'region')
    instance: str
    region: str


@message(41)
class VoteRequest(Record):
    """Requests a vote or a pre-vote.

    Parameters
    ----------
    term : int
        Term of the election.
    candidate : str
        Identifier of the candidate.
    last_index, last_term : int
        Last entry of the candidate's log.
    pre_vote : bool
        Whether this is a pre-vote, which changes no ballot.
    handover : bool
        Whether the current leader transfers its leadership.
    """

    __slots__ = (
        'term',
        'candidate',
        'last_index',
        'last_term',
        'pre_vote',
        'handover',
    )
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    handover: bool


@message(42)
class VoteAnswer(Record):
    """Answer to `VoteRequest` and `UnanimousVoteRequest`."""

    __slots__ = ('term', 'granted')
    term: int
    granted: bool


@message(43)
class AppendRequest(Record):
    """Entries of the leader; without entries a heartbeat.

    Parameters
    ----------
    term : int
        Term of the leader.
    leader : str
        Identifier of the leader.
    prev_index, prev_term : int
        The entry before the first one sent.
    commit_index : int
        Commit index of the leader.
    packed : bytes
        Entries in the form of `pack_entries`.
    compressed : bool
        Whether they are compressed.
    """

    __slots__ = (
        'term',
        'leader',
        'prev_index',
        'prev_term',
        'commit_index',
        'packed',
        'compressed',
    )
    term: int
    leader: str
    prev_index: int
    prev_term: int
    commit_index: int
    packed: bytes
    compressed: bool


@message(44)
class AppendAnswer(Record):
    """Answer to `AppendRequest` and `SnapshotChunk`.

    Parameters
    ----------
    term : int
        Term of the answering instance.
    accepted : bool
        Whether the entries are durable.
    index : int
        If accepted, up to where the logs match; otherwise the highest index
        that can match.
    trusted : bool
        Whether the answer counts towards a quorum.
    """

    __slots__ = ('term', 'accepted', 'index', 'trusted')
    term: int
    accepted: bool
    index: int
    trusted: bool


@message(45)
class SnapshotChunk(Record):
    """A snapshot chunk from the leader or on a follow stream.

    Parameters
    ----------
    term : int
        Term of the sender.
    leader : str
        The leader.
    index : int
        Index of the snapshot.
    offset, total : int
        Offset of the chunk and length of the snapshot, in bytes as sent.
    content : bytes
        The chunk.
    compressed : bool
        Whether the snapshot is compressed.
    """

    __slots__ = (
        'term',
        'leader',
        'index',
        'offset',
        'total',
        'content',
        'compressed',
    )
    term: int
    leader: str
    index: int
    offset: int
    total: int
    content: bytes
    compressed: bool


@message(46)
class BarrierRequest(Record):
    """Requests a read index.

    Parameters
    ----------
    hops : int
        Number of further hops allowed.
    """

    __slots__ = ('hops',)
    hops: int


@message(47)
class BarrierAnswer(Record):
    """Answer to `BarrierRequest`.

    Parameters
    ----------
    confirmed : bool
        Whether a quorum confirmed the leader after the request.
    term : int
        Term of the leader.
    index : int
        Commit index of the leader: the read index.
    last_index : int
        Last index of the leader's log.
    """

    __slots__ = ('confirmed', 'term', 'index', 'last_index')
    confirmed: bool
    term: int
    index: int
    last_index: int


@message(48)
class Follow(Record):
    """Requests a stream of the committed entries after an index."""

    __slots__ = ('after_index',)
    after_index: int


@message(49)
class FollowEntries(Record):
    """Committed entries; without entries a heartbeat.

    Parameters
    ----------
    term : int
        Current term of the sender.
    leader : str or None
        Leader known to the sender.
    prev_index : int
        Index before the first entry.
    packed : bytes
        Entries in the form of `pack_entries`.
    compressed : bool
        Whether they are compressed.
    age_s : float
        Seconds since the sender last had contact with a leader, directly or
        by its own upstream.
    """

    __slots__ = (
        'term',
        'leader',
        'prev_index',
        'packed',
        'compressed',
        'age_s',
    )
    term: int
    leader: str | None
    prev_index: int
    packed: bytes
    compressed: bool
    age_s: float


@message(50)
class TakeOver(Record):
    """Asks a caught-up voter to start an election at once."""

    __slots__ = ('term',)
    term: int


@message(52)
class UnanimousVoteRequest(Record):
    """Requests a vote or a pre-vote of an election that needs every voter.

    Parameters
    ----------
    term : int
        Term of the election.
    candidate : str
        Identifier of the candidate.
    last_index, last_term : int
        Last entry of the candidate's log.
    pre_vote : bool
        Whether this is a pre-vote, which changes no ballot.
    """

    __slots__ = ('term', 'candidate', 'last_index', 'last_term', 'pre_vote')
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


@message(51)
class TakeOverAnswer(Record):
    """Answer to `TakeOver`."""

    __slots__ = ('accepted',)
    accepted: bool
