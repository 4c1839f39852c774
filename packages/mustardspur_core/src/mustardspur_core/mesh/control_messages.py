"""Messages between nodes and control instances, and among control instances.

Type codes 120 to 139 are used between nodes and control instances, 140 to
159 between control instances.
"""

from types import MappingProxyType
from typing import ClassVar, Final

from mustardspur_core.mesh.model import MeshTarget, Transfer
from mustardspur_core.mesh.packing import TableDelta
from mustardspur_core.record import Defaults, Record
from mustardspur_core.settings import Peer
from mustardspur_core.wire.codec import message

# Request identifier of the heartbeats of a control instance that accepts
# `AllowanceRequest` and `AllowanceDemand`. Builds that do not know these frames
# send 0 and ignore the identifier; so does an instance whose table has no
# limits.
ACCEPTS_ALLOWANCES: Final = 1
# Request identifier of the first frame of a node that accepts `rolled_back` in
# `MeshTransfers`. Builds that do not know the field send 0 and ignore the
# identifier.
ACCEPTS_ROLLED_BACK: Final = 1


@message(120)
class MeshHello(Record):
    """First frame of a node to a control instance.

    Parameters
    ----------
    table_index : int
        Log index of the routing table that the node has, 0 for none.
    """

    __slots__ = ('node', 'data_centre', 'region', 'table_index')
    node: str
    data_centre: str
    region: str
    table_index: int


@message(121)
class MeshAnnounce(Record):
    """Registration of the sending node, with its target if it has one."""

    __slots__ = ('target',)
    target: MeshTarget


@message(122)
class MeshTargets(Record):
    """Update of the registrations of nodes.

    Parameters
    ----------
    full : bool
        Whether nodes without an entry in ``upserts`` are removed.
    upserts : list of MeshTarget
        New and changed registrations.
    removed : list of str
        Stream addresses of the removed nodes.
    """

    __slots__ = ('full', 'upserts', 'removed')
    full: bool
    upserts: list[MeshTarget]
    removed: list[str]


@message(123)
class MeshTable(Record):
    """Update of the routing table.

    Parameters
    ----------
    confirmed : bool
        Whether a read barrier after the `MeshHello` of the node confirmed
        that the table is the newest one.
    """

    __slots__ = ('delta', 'confirmed')
    delta: TableDelta
    confirmed: bool


@message(124)
class MeshTransfers(Record):
    """Latest transfers, and the version of each service outside of one.

    Parameters
    ----------
    evacuated : list of str
        Data centres whose targets receive no calls.
    rolled_back : dict of list of str
        Versions of each service that receive no calls until they are ordered
        again; empty for nodes of builds that do not know the field.
    """

    __slots__ = (
        'index',
        'transfers',
        'base_versions',
        'evacuated',
        'rolled_back',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'evacuated': list, 'rolled_back': dict},
    )
    index: int
    transfers: list[Transfer]
    base_versions: dict[str, str]
    evacuated: list[str]
    rolled_back: dict[str, list[str]]


@message(125)
class MeshHeartbeat(Record):
    """Heartbeat on the streams of control instances.

    Parameters
    ----------
    current : bool
        Whether the sender follows a leader that has a quorum; always True
        from a node.
    controls : list of Peer
        Live control instances if they have changed since the previous
        heartbeat, else empty; always empty from a node. On a stream between
        two control instances, the sender if it accepts `MeshCrash`, and the
        voters and live instances that it has not named on the stream.
    """

    __slots__ = ('current', 'controls')
    current: bool
    controls: list[Peer]


class RouteOutcomeCounts(Record):
    """Outcomes of the calls of a route at one version, since the start.

    Parameters
    ----------
    runs : int
        Calls that the target ran.
    failed : int
        Runs that the target failed.
    timed : int
        Runs whose latency is counted; those of a cold target are not.
    timed_ms : float
        Sum of the latencies of the timed runs.
    unanswered : int
        Runs that ended at their deadline, or because their caller left,
        before the target answered; they are not among `runs`.
    latency_buckets, latency_counts : list of int
        Histogram of the latencies of the timed and the unanswered runs:
        buckets of `mustardspur_moves.histogram` and the runs in each. The
        latency of an unanswered run is the time until its end.
    """

    __slots__ = (
        'service',
        'version',
        'route',
        'runs',
        'failed',
        'timed',
        'timed_ms',
        'unanswered',
        'latency_buckets',
        'latency_counts',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'unanswered': int, 'latency_buckets': list, 'latency_counts': list}
    )
    service: str
    version: str
    route: str
    runs: int
    failed: int
    timed: int
    timed_ms: float
    unanswered: int
    latency_buckets: list[int]
    latency_counts: list[int]


@message(126)
class MeshEvidence(Record):
    """All counts of a node since its start.

    Parameters
    ----------
    node : str
        Stream address of the node.
    incarnation : int
        Incarnation of the node; the counts start at 0 in each.
    """

    __slots__ = ('node', 'incarnation', 'rows')
    node: str
    incarnation: int
    rows: list[RouteOutcomeCounts]


@message(127)
class MeshAttach(Record):
    """First frame of a node that accepts `MeshPackedTable`.

    Nodes of earlier builds send `MeshHello`, with the same fields.
    """

    __slots__ = ('node', 'data_centre', 'region', 'table_index')
    node: str
    data_centre: str
    region: str
    table_index: int


@message(128)
class MeshPackedTable(Record):
    """Update of the routing table, compressed.

    Parameters
    ----------
    packed : bytes
        The delta, as `pack_delta` returns it.
    confirmed : bool
        As in `MeshTable`.
    """

    __slots__ = ('packed', 'confirmed')
    packed: bytes
    confirmed: bool


@message(129)
class MeshSubscribe(Record):
    """First frame of a node that accepts `MeshPackedTable` and `MeshBlocks`.

    Nodes of earlier builds send `MeshAttach`, with the same fields.
    """

    __slots__ = ('node', 'data_centre', 'region', 'table_index')
    node: str
    data_centre: str
    region: str
    table_index: int


@message(130)
class MeshCrash(Record):
    """A target crashed while it ran calls.

    Parameters
    ----------
    node : str
        Stream address of the node beside the target.
    incarnation : int
        Incarnation of that node.
    number : int
        Number of the crash in that incarnation.
    fingerprints : list of bytes
        Fingerprints of the calls that the target had not answered.
    age_s : float
        Seconds since the crash.
    lifted_index : int
        `MeshBlocks.lifted_index` that the node knew at the crash. The crash
        does not count for a call whose block was lifted at a higher index.
    """

    __slots__ = (
        'node',
        'incarnation',
        'number',
        'fingerprints',
        'age_s',
        'lifted_index',
    )
    optional: ClassVar[Defaults] = MappingProxyType({'lifted_index': int})
    node: str
    incarnation: int
    number: int
    fingerprints: list[bytes]
    age_s: float
    lifted_index: int


class BlockedCall(Record):
    """A call that no target may run for some time.

    Parameters
    ----------
    left_s : float
        Seconds for which it is refused from now on, 0 if its block was
        lifted.
    """

    __slots__ = ('fingerprint', 'left_s')
    fingerprint: bytes
    left_s: float


@message(131)
class MeshBlocks(Record):
    """Calls that have crashed several targets and are refused by all nodes.

    Parameters
    ----------
    lifted_index : int
        Log index of the latest lift of a block that the sender has applied, 0
        for none. A node that knows a higher one ignores the blocks.
    """

    __slots__ = ('blocked', 'lifted_index')
    optional: ClassVar[Defaults] = MappingProxyType({'lifted_index': int})
    blocked: list[BlockedCall]
    lifted_index: int


class AllowanceUse(Record):
    """Use of a limit by the calls of one node.

    Parameters
    ----------
    limit : str
        Name of the limit, such as ``account/NAME``.
    spent : int
        Calls admitted in advance since the previous request.
    wanted : int
        Tokens that the node asks for.
    calls : int
        All calls since the previous request, also refused ones.
    """

    __slots__ = ('limit', 'spent', 'wanted', 'calls')
    optional: ClassVar[Defaults] = MappingProxyType({'calls': int})
    limit: str
    spent: int
    wanted: int
    calls: int


@message(132)
class AllowanceRequest(Record):
    """Request of a node for tokens; each is answered by one grant."""

    __slots__ = ('uses',)
    uses: list[AllowanceUse]


class AllowanceShare(Record):
    """Tokens of a limit for the calls of one node.

    Parameters
    ----------
    valid_ms : float
        Time from the sending of the request for which the tokens can be used.
    relaxed : bool
        Whether the node may admit a few calls in advance.
    retry_after_ms : float
        Time after which a token is expected if not all were granted, else 0.
    """

    __slots__ = ('limit', 'tokens', 'valid_ms', 'relaxed', 'retry_after_ms')
    limit: str
    tokens: int
    valid_ms: float
    relaxed: bool
    retry_after_ms: float


@message(133)
class AllowanceGrant(Record):
    """Answer to an `AllowanceRequest`, with a share for each use."""

    __slots__ = ('grants',)
    grants: list[AllowanceShare]


@message(140)
class ControlHello(Record):
    """First frame on a stream between two control instances."""

    __slots__ = ('sender',)
    sender: Peer


class LimitDemand(Record):
    """Calls a second of a limit that a control instance sees."""

    __slots__ = ('limit', 'per_s')
    limit: str
    per_s: float


@message(141)
class AllowanceDemand(Record):
    """Demand that the sending control instance sees, by limit.

    Parameters
    ----------
    full : bool
        Whether limits without an entry have no demand; so in the first frame
        of a stream.
    demands : list of LimitDemand
        New and changed demands; 0 for a limit without demand.
    """

    __slots__ = ('full', 'demands')
    full: bool
    demands: list[LimitDemand]
