"""One call on its way through the node."""

from http import HTTPStatus
from typing import Final

from aiohttp import web
from multidict import CIMultiDict
from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls import names
from mustardspur_node.calls.answers import CallFault, Outcome
from mustardspur_node.calls.bodies import RequestBody
from mustardspur_node.calls.budgets import ChainBudget
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.routing import CompiledRoute
from mustardspur_node.calls.services import Service

# Time in which an answer travels back and the caller's node handles it.
HOP_ALLOWANCE_S: Final = 0.001
_MAX_DEADLINE_DIGITS: Final = 9


class Call:
    """A call with its route and what is known of its attempts.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        Request of the caller.
    service : Service
        Service that is called.
    route : CompiledRoute
        Route that the request takes.
    deadline_at : float
        Loop's clock in seconds.
    body : RequestBody
        Body of the request.
    """

    __slots__ = (
        'answer',
        'attempts',
        'body',
        'chain',
        'deadline_at',
        'headers',
        'placements',
        'possible_runs',
        'request',
        'route',
        'service',
        'tried',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        service: Service,
        route: CompiledRoute,
        deadline_at: float,
    ) -> None:
        """Start without any attempt."""
        self.request = request
        self.service = service
        self.route = route
        self.deadline_at = deadline_at
        self.body: RequestBody
        self.headers: CIMultiDict[str]
        self.chain = ChainBudget(request.headers.get(names.RETRY_BUDGET))
        self.attempts = 0
        self.placements = 0
        self.possible_runs = 0
        self.answer: web.StreamResponse | None = None
        self.tried: list[Endpoint] = []

    def attempt_headers(self, now: float, passed: int) -> CIMultiDict[str]:
        """Return the headers for an attempt.

        Parameters
        ----------
        now : float
            Loop's clock in seconds.
        passed : int
            Retry budget that goes with the attempt.
        """
        headers = self.headers.copy()
        left_ms = (self.deadline_at - now - HOP_ALLOWANCE_S) * MS_PER_S
        headers[names.DEADLINE_MS] = str(max(int(left_ms), 1))
        headers[names.RETRY_BUDGET] = str(passed)
        return headers


def call_deadline(
    request: web.BaseRequest,
    route: CompiledRoute,
    now: float,
) -> float:
    """Return the earlier of the caller's and the route's deadline.

    A header that is not a plain count of milliseconds is ignored, so that
    the route's own timeout holds.
    """
    header = request.headers.get(names.DEADLINE_MS)
    if header is None or len(header) > _MAX_DEADLINE_DIGITS:
        return now + route.timeout_s
    if not (header.isascii() and header.isdigit()):
        return now + route.timeout_s
    return now + min(int(header) / MS_PER_S, route.timeout_s)


def call_fault(call: Call, status: HTTPStatus, reason: str) -> CallFault:
    """Return a fault whose outcome takes all attempts of a call together."""
    outcome = Outcome.UNKNOWN if call.possible_runs else Outcome.NOT_RUN
    return CallFault(status, outcome, reason)
