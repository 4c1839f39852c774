"""Messages of a mesh.

Type codes 120 to 139 are used between nodes and control instances, 140 to
159 between control instances, 160 to 179 between nodes and 180 to 199 for
entries of the replicated log.
"""

from mustardspur_core.mesh.model import MeshTarget, Transfer
from mustardspur_core.mesh.packing import TableDelta
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer
from mustardspur_core.wire.codec import message


@message(120)
class MeshHello(Record):
    """First frame of a node to a control instance.

    Parameters
    ----------
    held_index : int
        Log index of the routing table that the node holds, 0 for none.
    """

    __slots__ = ('node', 'data_centre', 'region', 'held_index')
    node: str
    data_centre: str
    region: str
    held_index: int


@message(121)
class MeshAnnounce(Record):
    """The node's own row, with its target if there is one."""

    __slots__ = ('target',)
    target: MeshTarget


@message(122)
class MeshTargets(Record):
    """Rows of nodes.

    Parameters
    ----------
    full : bool
        Whether nodes that are not named are gone.
    removed : list of str
        Streams of the nodes that are gone.
    """

    __slots__ = ('full', 'upserts', 'removed')
    full: bool
    upserts: list[MeshTarget]
    removed: list[str]


@message(123)
class MeshTable(Record):
    """A change of the routing table.

    Parameters
    ----------
    confirmed : bool
        Whether a read barrier after the node's greeting confirmed that the
        table is the newest one.
    """

    __slots__ = ('delta', 'confirmed')
    delta: TableDelta
    confirmed: bool


@message(124)
class MeshTransfers(Record):
    """Transfers, and the version that each service has without one."""

    __slots__ = ('index', 'transfers', 'base_versions')
    index: int
    transfers: list[Transfer]
    base_versions: dict[str, str]


@message(125)
class MeshBeat(Record):
    """Regular sign of life.

    Parameters
    ----------
    current : bool
        Whether the sender follows a leader that a quorum follows; a node
        sends True.
    controls : list of Peer
        Control instances that the sender knows of, if they have changed
        since the last beat; empty from a node.
    """

    __slots__ = ('current', 'controls')
    current: bool
    controls: list[Peer]


class EvidenceRow(Record):
    """Outcomes of the calls of a route at one version, since the start.

    Parameters
    ----------
    failed : int
        Answers that the target failed.
    timed : int
        Runs whose time counts; those of a cold target do not.
    busy_ms : float
        Sum of the times of the timed runs.
    """

    __slots__ = (
        'service',
        'version',
        'route',
        'runs',
        'failed',
        'timed',
        'busy_ms',
    )
    service: str
    version: str
    route: str
    runs: int
    failed: int
    timed: int
    busy_ms: float


@message(126)
class MeshEvidence(Record):
    """All counts of a node since its start.

    Parameters
    ----------
    node : str
        Stream of the node.
    incarnation : int
        Start of the node; its counts begin at 0 with each.
    """

    __slots__ = ('node', 'incarnation', 'rows')
    node: str
    incarnation: int
    rows: list[EvidenceRow]


@message(140)
class ControlHello(Record):
    """First frame of a control instance to another one."""

    __slots__ = ('sender',)
    sender: Peer


@message(160)
class NodeHello(Record):
    """First frame of a node to another one."""

    __slots__ = ('node', 'data_centre', 'region')
    node: str
    data_centre: str
    region: str


class TargetLoad(Record):
    """State of a target that the node beside it reports with each answer.

    Parameters
    ----------
    running, waiting : int
        Calls at the target, and calls that wait for a slot and can still be
        in time.
    slots : int
        Calls that the node sends to the target at a time.
    run_ms : float
        Mean time of a run.
    failing : float
        Recent part of the runs that the target failed, 0 to 1.
    open : bool
        Whether the node admits calls at all.
    """

    __slots__ = ('running', 'waiting', 'slots', 'run_ms', 'failing', 'open')
    running: int
    waiting: int
    slots: int
    run_ms: float
    failing: float
    open: bool


@message(161)
class CallOpen(Record):
    """A call for the target beside the receiving node.

    Parameters
    ----------
    target : str
        Identity of the target that is meant.
    route : str
        Name of the route, for the evidence of transfers.
    deadline_ms : float
        Time that is left.
    patience_ms : float
        Longest useful wait for a slot.
    confirm : bool
        Whether the receiver asks with `CallReady` and waits for `CallGo`
        before it hands the call to the target. A call that may run only once
        can then be placed elsewhere whenever its stream ends before.
    more : bool
        Whether parts of the body follow.
    """

    __slots__ = (
        'target',
        'service',
        'route',
        'priority',
        'method',
        'path',
        'headers',
        'deadline_ms',
        'patience_ms',
        'confirm',
        'body',
        'more',
    )
    target: str
    service: str
    route: str
    priority: int
    method: str
    path: str
    headers: list[list[str]]
    deadline_ms: float
    patience_ms: float
    confirm: bool
    body: bytes
    more: bool


@message(162)
class CallPart(Record):
    """A part of a body, in either direction."""

    __slots__ = ('body', 'more')
    body: bytes
    more: bool


@message(168)
class CallReady(Record):
    """A slot is held for the call; it runs after `CallGo` only."""

    __slots__ = ('load',)
    load: TargetLoad


@message(169)
class CallGo(Record):
    """The call may be handed to the target."""

    __slots__ = ('confirmed',)
    confirmed: bool


@message(163)
class CallCancel(Record):
    """The caller is gone."""

    __slots__ = ('reason',)
    reason: str


@message(165)
class CallAnswer(Record):
    """The target's answer."""

    __slots__ = ('status', 'reason', 'headers', 'body', 'more', 'load')
    status: int
    reason: str
    headers: list[list[str]]
    body: bytes
    more: bool
    load: TargetLoad


@message(166)
class CallFailed(Record):
    """A call without an answer of the target.

    Parameters
    ----------
    kind : str
        ``busy``, ``closed``, ``moved``, ``refused``, ``broken`` or
        ``timeout``.
    not_run : bool
        Whether the call certainly did not run and never will.
    """

    __slots__ = ('kind', 'not_run', 'detail', 'load')
    kind: str
    not_run: bool
    detail: str
    load: TargetLoad


@message(167)
class NodeBeat(Record):
    """Regular sign of life between nodes, with the state of the target."""

    __slots__ = ('load',)
    load: TargetLoad


@message(180)
class PublishTable(Record):
    """Replaces the routing table.

    Parameters
    ----------
    number, base : int
        Number of the table and of the one that it builds on, 0 for none.
    digest : str
        Digest of the document with its numbers.
    packed : bytes
        Rows of the table, by `pack_rows`.
    document : bytes
        The operator's document as it was sent, compressed.
    """

    __slots__ = ('number', 'base', 'digest', 'packed', 'document')
    number: int
    base: int
    digest: str
    packed: bytes
    document: bytes


@message(181)
class StartTransfer(Record):
    """An operator's order to move a service to a version."""

    __slots__ = ('service', 'version', 'duration_ms', 'at_s')
    service: str
    version: str
    duration_ms: float
    at_s: float


@message(182)
class StepTransfer(Record):
    """A step of a transfer that the leader decided.

    Parameters
    ----------
    expected_step : int
        Step that this one follows; it has no effect after any other.
    """

    __slots__ = (
        'service',
        'version',
        'expected_step',
        'state',
        'share',
        'elapsed_ms',
    )
    service: str
    version: str
    expected_step: int
    state: str
    share: float
    elapsed_ms: float


@message(183)
class SetBaseVersion(Record):
    """Records the version that a service has before any transfer."""

    __slots__ = ('service', 'version')
    service: str
    version: str


class MeshAnswer(Record):
    """Answer to an entry.

    Parameters
    ----------
    status : str
        ``accepted``, ``conflict`` or ``invalid``.
    number : int
        Number of the table in force.
    """

    __slots__ = ('status', 'number')
    status: str
    number: int
