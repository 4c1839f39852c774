"""Messages between nodes and control instances.

Type codes 1 to 39 are used in this module, 40 to 69 by the replicated log and
70 to 99 between control instances.
"""

from mustardspur_core.record import Record
from mustardspur_core.state import ServiceConfig, Target
from mustardspur_core.wire.codec import message


@message(1)
class Hello(Record):
    """First frame that a node sends.

    Parameters
    ----------
    node, data_centre, region : str
        Identifier and location of the node.
    incarnation : int
        Number that increases with every start of the node.
    services : list of str
        Services whose configuration and targets the node needs.
    config_indexes : dict of int
        Index of the configuration that the node has, by service.
    target_revisions : dict of str
        Revision of the target list that the node has, by service. A
        revision is only comparable on the control instance that issued it.
    """

    __slots__ = (
        'node',
        'data_centre',
        'region',
        'incarnation',
        'services',
        'config_indexes',
        'target_revisions',
    )
    node: str
    data_centre: str
    region: str
    incarnation: int
    services: list[str]
    config_indexes: dict[str, int]
    target_revisions: dict[str, str]


@message(2)
class Welcome(Record):
    """Answer to `Hello`.

    Parameters
    ----------
    control : str
        Identifier of the control instance.
    confirmed : bool
        Whether a read barrier after `Hello` confirmed its state.
    """

    __slots__ = ('control', 'confirmed')
    control: str
    confirmed: bool


@message(3)
class Busy(Record):
    """Refusal of a connection, with a delay before the next attempt."""

    __slots__ = ('retry_after_ms',)
    retry_after_ms: int


@message(4)
class Subscribe(Record):
    """Request for the configuration and targets of further services."""

    __slots__ = ('services',)
    services: list[str]


@message(5)
class Announce(Record):
    """Complete list of the targets of a node's instance."""

    __slots__ = ('targets',)
    targets: list[Target]


@message(6)
class ConfigUpdate(Record):
    """Configuration of a service, as a full copy or as a delta.

    Parameters
    ----------
    service : str
        Name of the service.
    index : int
        Index of the configuration after the update.
    base_index : int
        Index that `delta` applies to; 0 for a full copy.
    full : ServiceConfig or None
        The full copy.
    delta : dict or None
        Differences in the format of `mustardspur_core.deltas`.
    """

    __slots__ = ('service', 'index', 'base_index', 'full', 'delta')
    service: str
    index: int
    base_index: int
    full: ServiceConfig | None
    delta: dict[str, object] | None


@message(7)
class TargetUpdate(Record):
    """Targets of a service, as a full list or as changes.

    Parameters
    ----------
    service : str
        Name of the service.
    revision : str
        Revision of the target list after the update.
    full : bool
        Whether `upserts` replaces the whole list.
    upserts : list of Target
        New and changed targets.
    removals : list of str
        Identifiers of removed targets.
    """

    __slots__ = ('service', 'revision', 'full', 'upserts', 'removals')
    service: str
    revision: str
    full: bool
    upserts: list[Target]
    removals: list[str]


@message(8)
class Applied(Record):
    """Configuration that a node has in force for a service.

    Parameters
    ----------
    index : int
        Index in force.
    pending_index : int
        Newest index received; equal to `index` if none is pending.
    reason : str
        Why the newest index is not in force; empty if it is.
    """

    __slots__ = ('service', 'index', 'pending_index', 'reason')
    service: str
    index: int
    pending_index: int
    reason: str


class OutcomeRow(Record):
    """Counts of call outcomes for one combination of the key fields.

    Parameters
    ----------
    version, route, data_centre : str
        Version of the target, route of the call, and data centre.
    target : str
        Identifier of the target, so that one failing target can be told
        apart from a faulty version.
    caller : str
        Organisation of the caller, empty if unknown.
    calls, failures, refusals : int
        Counts since the last report.
    latency_counts : dict of int
        Count by bucket number, written as text, of the log-scale histogram
        in `mustardspur_moves`.
    """

    __slots__ = (
        'version',
        'route',
        'data_centre',
        'target',
        'caller',
        'calls',
        'failures',
        'refusals',
        'latency_counts',
    )
    version: str
    route: str
    data_centre: str
    target: str
    caller: str
    calls: int
    failures: int
    refusals: int
    latency_counts: dict[str, int]


@message(9)
class Outcomes(Record):
    """Call outcomes of a node during a move, since its last report.

    Parameters
    ----------
    move : str
        Identifier of the move.
    step : int
        Step of the move that was in force during the calls.
    rows : list of OutcomeRow
        The counts.
    """

    __slots__ = ('move', 'step', 'rows')
    move: str
    step: int
    rows: list[OutcomeRow]


@message(10)
class CutOff(Record):
    """Notice that ends all traffic to the new version of a move for good."""

    __slots__ = ('move', 'version', 'origin', 'reason')
    move: str
    version: str
    origin: str
    reason: str


@message(11)
class Heartbeat(Record):
    """Periodic message that shows that the sender is alive."""

    __slots__ = ('sequence',)
    sequence: int


@message(12)
class ProtocolFault(Record):
    """Last frame to a peer that sent a malformed frame."""

    __slots__ = ('kind', 'detail')
    kind: str
    detail: str
