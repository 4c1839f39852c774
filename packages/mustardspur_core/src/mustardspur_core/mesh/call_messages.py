"""Messages between nodes, for their calls; type codes 160 to 179."""

from mustardspur_core.record import Record
from mustardspur_core.wire.codec import message


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
