"""Calls of callers, answers of targets and faults of placements."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.mesh.model import ClientAccount, MeshRoute
from mustardspur_core.record import Record
from mustardspur_core.texts import MAX_ERROR_CHARS, shorten

Headers = list[list[str]]
# Awaited immediately before a call is sent to the target.
BeforeSend = Callable[[TargetLoad], Awaitable[None]]
# Whether the local target may run calls that are retries.
MayRunRetries = Callable[[], bool]


class MeshCall(Record):
    """A call of a caller, with its complete body.

    Parameters
    ----------
    account : ClientAccount or None
        Account of the caller, None for a call without one.
    started_s : float
        Time on the event loop's clock at which the request was received.
    deadline_s : float
        Time on the same clock by which the caller is answered.
    useful_s : float
        Time on the same clock after which an answer has lost most of its
        value.
    rank : int
        Rank among waiting calls; lower ranks get a slot first.
    """

    __slots__ = (
        'request_id',
        'route',
        'account',
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
    account: ClientAccount | None
    method: str
    path: str
    headers: Headers
    body: bytes
    started_s: float
    deadline_s: float
    useful_s: float
    rank: int


class TargetAnswer(Record):
    """Complete answer of a target, with the load that its node reports."""

    __slots__ = ('status', 'reason', 'headers', 'body', 'load')
    status: int
    reason: str
    headers: Headers
    body: bytes
    load: TargetLoad


class PlacementFault(Exception):
    """The placement of a call on a target gave no usable answer.

    Parameters
    ----------
    kind : str
        One of `FAULT_KINDS`.
    not_run : bool
        Whether it is certain that the call did not run and will not run.
    arrived : bool
        Whether the call was sent to the target; placing it again then draws
        on the retry budget.
    detail : str
        Description for the log, which is cut if it is long: it crosses the
        stream to the node of the caller.
    """

    def __init__(
        self,
        kind: str,
        detail: str,
        *,
        not_run: bool,
        arrived: bool,
    ) -> None:
        """Initialise the fault; its text is the kind and the detail."""
        self.kind = kind
        self.detail = shorten(detail, MAX_ERROR_CHARS)
        super().__init__(f'{kind}: {self.detail}')
        self.not_run = not_run
        self.arrived = arrived


class UnansweredCall(Exception):
    """A call ends without an answer of a target.

    Parameters
    ----------
    status : HTTPStatus
        Status for the caller; 503 only if it is certain that the call did
        not run.
    reason : str
        Description for the caller and the log.
    retry_after_s : float
        Delay in seconds after which the caller may retry a call that did not
        run.
    closes : bool
        Whether the connection is closed, since its body is not read whole.
    """

    def __init__(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float,
        *,
        closes: bool = False,
    ) -> None:
        """Initialise the error with the status and reason for the caller."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.closes = closes


def not_sent_fault(kind: str, detail: str) -> PlacementFault:
    """Return the fault of a call that was not sent to a target."""
    return PlacementFault(kind, detail, not_run=True, arrived=False)


def maybe_run_fault(kind: str, detail: str) -> PlacementFault:
    """Return the fault of a call that a target may have run."""
    return PlacementFault(kind, detail, not_run=False, arrived=True)
