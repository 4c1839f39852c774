"""Data classes of a profile."""

from mustardspur_core.record import Record


class TargetSet(Record):
    """The set of targets that run one version."""

    __slots__ = ('version',)
    version: str


class CallClass(Record):
    """Limits shared by the calls of one class.

    Parameters
    ----------
    priority : int
        A lower number is served first when capacity is short.
    max_in_flight_per_target : int
        Maximum number of calls in flight from a node to one target.
    queue_limit : int
        Maximum number of calls queued in a node.
    """

    __slots__ = ('priority', 'max_in_flight_per_target', 'queue_limit')
    priority: int
    max_in_flight_per_target: int
    queue_limit: int


class RetryPolicy(Record):
    """Limits on retries and hedging of a call.

    Parameters
    ----------
    attempts : int
        Maximum number of attempts, including the first.
    budget_ratio : float
        Ratio of extra attempts to calls, over all calls of the node.
    hedge_after_ms : int
        Delay before a hedged attempt of an idempotent call, 0 for none.
    """

    __slots__ = ('attempts', 'budget_ratio', 'hedge_after_ms')
    attempts: int
    budget_ratio: float
    hedge_after_ms: int


class Route(Record):
    """Match conditions for calls, and how matching calls are handled."""

    __slots__ = (
        'name',
        'path_prefix',
        'methods',
        'headers',
        'weights',
        'call_class',
        'retry',
        'idempotent',
        'timeout_ms',
    )
    name: str
    path_prefix: str
    methods: list[str]
    headers: dict[str, str]
    weights: dict[str, int]
    call_class: str
    retry: str
    idempotent: bool
    timeout_ms: int


class MovePolicy(Record):
    """Policy for replacing one version by another.

    Parameters
    ----------
    within_s : float or None
        Seconds from the edit to the deadline.
    by : str or None
        Deadline as an ISO 8601 text with its offset from UTC.
    first_share : float
        Share of the traffic in the first step, above 0 and at most 1.
    unjudged : str
        ``finish`` or ``take_back``: what is done at the deadline if the
        evidence is insufficient.
    weighing : str
        ``control_bytes`` or ``convergence_time``: the cost that is kept low;
        it sets the intervals and thresholds of a move.
    """

    __slots__ = ('within_s', 'by', 'first_share', 'unjudged', 'weighing')
    within_s: float | None
    by: str | None
    first_share: float
    unjudged: str
    weighing: str


class Profile(Record):
    """A complete traffic profile with its name."""

    __slots__ = (
        'name',
        'target_sets',
        'call_classes',
        'retries',
        'routes',
        'move',
    )
    name: str
    target_sets: dict[str, TargetSet]
    call_classes: dict[str, CallClass]
    retries: dict[str, RetryPolicy]
    routes: list[Route]
    move: MovePolicy
