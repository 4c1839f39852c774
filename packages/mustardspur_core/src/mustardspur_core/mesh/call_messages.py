"""Messages between nodes for forwarded calls; type codes 160 to 179."""

from types import MappingProxyType
from typing import ClassVar, Final

from mustardspur_core.record import Defaults, Record
from mustardspur_core.wire.codec import message


@message(160)
class NodeHello(Record):
    """First frame on a stream between two nodes."""

    __slots__ = ('node', 'data_centre', 'region')
    node: str
    data_centre: str
    region: str


class TargetLoad(Record):
    """Load of a target, which its node reports with each answer.

    Parameters
    ----------
    running, waiting : int
        Calls in flight at the target, and queued calls that can still meet
        their deadline.
    slots : int
        Maximum number of concurrent calls to the target.
    run_ms : float
        Mean latency of the target.
    failure_rate : float
        Recent failure rate of the target, 0 to 1.
    open : bool
        Whether the node admits calls to the target.
    link_wait_ms : float
        Time after which the link has carried the large bodies that are
        admitted already.
    """

    __slots__ = (
        'running',
        'waiting',
        'slots',
        'run_ms',
        'failure_rate',
        'open',
        'link_wait_ms',
    )
    optional: ClassVar[Defaults] = MappingProxyType({'link_wait_ms': float})
    running: int
    waiting: int
    slots: int
    run_ms: float
    failure_rate: float
    open: bool
    link_wait_ms: float


@message(161, has_any_bytes=True)
class CallOpen(Record):
    """A call for the target of the receiving node.

    Parameters
    ----------
    target : str
        Identifier of the target; a node with another target refuses the call.
    route : str
        Name of the route, for the evidence on transfers.
    deadline_ms : float
        Remaining time until the deadline.
    max_wait_ms : float
        Longest useful wait for a slot, which includes the transfer of a large
        body.
    confirm : bool
        Whether the receiver sends `CallReserved` and waits for `CallConfirm`
        before it forwards the call to the target. If the stream ends before
        the confirmation, a call that is not idempotent can be sent to another
        target.
    more : bool
        Whether further parts of the body follow.
    account : str
        Client account of the call, empty for none.
    body_bytes : int
        Size of a large body, whose parts are sent as `BodyCredit` allows; 0
        for other bodies.
    repeat : bool
        Whether the call was sent to another target before; stated only where
        the table has accounts.
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
        'max_wait_ms',
        'confirm',
        'body',
        'more',
        'account',
        'body_bytes',
        'repeat',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'account': str, 'body_bytes': int, 'repeat': bool},
    )
    target: str
    service: str
    route: str
    priority: int
    method: str
    path: str
    headers: list[list[str]]
    deadline_ms: float
    max_wait_ms: float
    confirm: bool
    body: bytes
    more: bool
    account: str
    body_bytes: int
    repeat: bool


@message(162)
class CallPart(Record):
    """A further part of the body of a call or an answer."""

    __slots__ = ('body', 'more')
    body: bytes
    more: bool


@message(168)
class CallReserved(Record):
    """Reports a reserved slot; the call runs only after `CallConfirm`."""

    __slots__ = ('load',)
    load: TargetLoad


@message(169)
class CallConfirm(Record):
    """Confirms that the call may be forwarded to the target."""

    __slots__ = ('confirmed',)
    confirmed: bool


@message(170)
class BodyCredit(Record):
    """Permits further bytes of the large body of a call."""

    __slots__ = ('bytes',)
    bytes: int


@message(163)
class CallCancel(Record):
    """Cancels a call whose caller has disconnected."""

    __slots__ = ('reason',)
    reason: str


@message(165, has_any_bytes=True)
class CallAnswer(Record):
    """Answer of the target, with the first part of its body."""

    __slots__ = ('status', 'reason', 'headers', 'body', 'more', 'load')
    status: int
    reason: str
    headers: list[list[str]]
    body: bytes
    more: bool
    load: TargetLoad


# What a node states that fails a call. The kinds are names of metrics.
FAULT_KINDS: Final = frozenset(
    (
        'busy',
        'closed',
        'moved',
        'unreachable',
        'refused',
        'blocked',
        'broken',
        'timeout',
    ),
)


@message(166)
class CallFailed(Record):
    """Failure of a call without an answer of the target.

    Parameters
    ----------
    kind : str
        One of `FAULT_KINDS`.
    not_run : bool
        Whether it is certain that the call has not run and will not run.
    """

    __slots__ = ('kind', 'not_run', 'detail', 'load')
    kind: str
    not_run: bool
    detail: str
    load: TargetLoad


@message(167)
class NodeHeartbeat(Record):
    """Heartbeat between nodes, with the load of the target."""

    __slots__ = ('load',)
    load: TargetLoad
