"""A call on its way, its answer and its faults."""

from http import HTTPStatus

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.record import Record

Headers = list[list[str]]


class MeshCall(Record):
    """A call as its caller sent it, read whole.

    Parameters
    ----------
    deadline_s : float
        Moment on the loop's clock at which the caller is answered at the
        latest.
    useful_s : float
        Moment after which an answer has lost most of its value.
    rank : int
        Lower ranks get a slot first.
    started_s : float
        Moment at which the call was read.
    """

    __slots__ = (
        'request_id',
        'route',
        'method',
        'path',
        'headers',
        'body',
        'started_s',
        'deadline_s',
        'useful_s',
        'rank',
    )
    request_id: str
    route: MeshRoute
    method: str
    path: str
    headers: Headers
    body: bytes
    started_s: float
    deadline_s: float
    useful_s: float
    rank: int


class TargetAnswer(Record):
    """Complete answer of a target."""

    __slots__ = ('status', 'reason', 'headers', 'body', 'load')
    status: int
    reason: str
    headers: Headers
    body: bytes
    load: TargetLoad


class PlaceFault(Exception):
    """A target gave no usable answer.

    Parameters
    ----------
    kind : str
        ``busy``, ``closed``, ``moved``, ``unreachable``, ``refused``,
        ``broken`` or ``timeout``.
    not_run : bool
        Whether the call certainly did not run and never will.
    arrived : bool
        Whether the target was sent the call, which draws on the budget for
        repeats.
    detail : str
        Description for the log.
    """

    def __init__(
        self,
        kind: str,
        detail: str,
        *,
        not_run: bool,
        arrived: bool,
    ) -> None:
        """Keep what is known of the call."""
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.detail = detail
        self.not_run = not_run
        self.arrived = arrived


class Placement(Exception):
    """The call ends without a target's answer.

    Parameters
    ----------
    status : HTTPStatus
        For the caller; 503 only if the call certainly did not run.
    reason : str
        Description for the caller and the log.
    retry_after_s : float
        When to come back, for a call that did not run.
    """

    def __init__(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def never_sent(kind: str, detail: str) -> PlaceFault:
    """Return the fault of a call that no target was sent."""
    return PlaceFault(kind, detail, not_run=True, arrived=False)


def maybe_run(kind: str, detail: str) -> PlaceFault:
    """Return the fault of a call that a target may have run."""
    return PlaceFault(kind, detail, not_run=False, arrived=True)
