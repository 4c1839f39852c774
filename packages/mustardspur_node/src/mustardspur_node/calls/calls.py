"""State of a call while the node forwards it."""

from http import HTTPStatus
from typing import Final

from aiohttp import web
from multidict import CIMultiDict
from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls import names
from mustardspur_node.calls.bodies import RequestBody
from mustardspur_node.calls.budgets import ChainBudget
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.error_responses import CallFault, Outcome
from mustardspur_node.calls.routing import CompiledRoute
from mustardspur_node.calls.services import Service

# Time for a response to reach the caller's node and be handled there.
HOP_ALLOWANCE_S: Final = 0.001
_MAX_DEADLINE_DIGITS: Final = 9


class Call:
    """A call with its route and the state of its attempts.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request of the caller.
    service : Service
        Service that is called.
    route : CompiledRoute
        Route that matches the request.
    deadline_at : float
        Time of the event loop in seconds.
    """

    __slots__ = (
        'body',
        'chain_budget',
        'deadline_at',
        'failed_attempts',
        'headers',
        'possible_runs',
        'request',
        'response',
        'route',
        'service',
        'tried',
        'unreachable_targets',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        service: Service,
        route: CompiledRoute,
        deadline_at: float,
    ) -> None:
        """Initialise without attempts; body and headers are set later."""
        self.request = request
        self.service = service
        self.route = route
        self.deadline_at = deadline_at
        self.body: RequestBody
        self.headers: CIMultiDict[str]
        self.chain_budget = ChainBudget(request.headers.get(names.RETRY_BUDGET))
        self.failed_attempts = 0
        self.unreachable_targets = 0
        self.possible_runs = 0
        self.response: web.StreamResponse | None = None
        self.tried: list[Endpoint] = []

    def attempt_headers(
        self, now: float, forwarded_budget: int
    ) -> CIMultiDict[str]:
        """Return the headers for an attempt.

        Parameters
        ----------
        now : float
            Time of the event loop in seconds.
        forwarded_budget : int
            Part of the chain's retry budget that is sent with the attempt.
        """
        headers = self.headers.copy()
        left_ms = (self.deadline_at - now - HOP_ALLOWANCE_S) * MS_PER_S
        headers[names.DEADLINE_MS] = str(max(int(left_ms), 1))
        headers[names.RETRY_BUDGET] = str(forwarded_budget)
        return headers


def call_deadline(
    request: web.BaseRequest,
    route: CompiledRoute,
    now: float,
) -> float:
    """Return the earlier of the caller's and the route's deadline.

    A header that is not a plain number of milliseconds is ignored, so that
    the timeout of the route applies.
    """
    header = request.headers.get(names.DEADLINE_MS)
    if header is None or len(header) > _MAX_DEADLINE_DIGITS:
        return now + route.timeout_s
    if not (header.isascii() and header.isdigit()):
        return now + route.timeout_s
    return now + min(int(header) / MS_PER_S, route.timeout_s)


def call_fault(call: Call, status: HTTPStatus, reason: str) -> CallFault:
    """Return a fault whose outcome covers all attempts of a call."""
    outcome = Outcome.UNKNOWN if call.possible_runs else Outcome.NOT_RUN
    return CallFault(status, outcome, reason)
