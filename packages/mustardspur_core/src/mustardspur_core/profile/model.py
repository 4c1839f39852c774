"""Data classes of a profile."""

from mustardspur_core.record import Record


class TargetSet(Record):
    """The targets of one version."""

    __slots__ = ('version',)
    version: str


class CallClass(Record):
    """Limits that a class of calls shares.

    Parameters
    ----------
    priority : int
        Lower goes first when capacity is short.
    max_in_flight_per_target : int
        Calls of this class that a node has at one target at a time.
    queue_limit : int
        Calls of this class that wait in a node.
    """

    __slots__ = ('priority', 'max_in_flight_per_target', 'queue_limit')
    priority: int
    max_in_flight_per_target: int
    queue_limit: int


class RetryPolicy(Record):
    """How often and when a call is tried again.

    Parameters
    ----------
    attempts : int
        Attempts in all, the first included.
    budget_ratio : float
        Extra attempts allowed for each call, over all calls of the node.
    hedge_after_ms : int
        Delay before a second attempt of an idempotent call, 0 for none.
    """

    __slots__ = ('attempts', 'budget_ratio', 'hedge_after_ms')
    attempts: int
    budget_ratio: float
    hedge_after_ms: int


class Route(Record):
    """A match on calls and what happens to them."""

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
    """How a new version replaces an old one.

    Parameters
    ----------
    within_s : float or None
        Seconds from the edit to the stated time.
    by : str or None
        The stated time as an ISO 8601 text with its offset from UTC.
    first_share : float
        Share of the traffic of the first step, above 0 and at most 1.
    unjudged : str
        ``finish`` or ``take_back``, for evidence that is not enough.
    weighing : str
        ``control_bytes`` or ``convergence_time``, which one weighs more.
    """

    __slots__ = ('within_s', 'by', 'first_share', 'unjudged', 'weighing')
    within_s: float | None
    by: str | None
    first_share: float
    unjudged: str
    weighing: str


class Profile(Record):
    """A named profile, complete."""

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
