"""The path of a call through the node."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings.model import Settings
from mustardspur_core.timeline import Timeline

from mustardspur_node.calls import names
from mustardspur_node.calls.admission import check_load, route_call
from mustardspur_node.calls.answers import (
    CallFault,
    fault_response,
    not_run,
)
from mustardspur_node.calls.counters import Counters
from mustardspur_node.calls.forwarding import Forwarding
from mustardspur_node.calls.headers import forwarded_request_headers
from mustardspur_node.calls.in_flight import InFlight
from mustardspur_node.calls.services import ServiceDirectory
from mustardspur_node.calls.shapes import shape_fault
from mustardspur_node.calls.upkeep import Upkeep
from mustardspur_node.views import OutcomeSink, ViewSource

# After these answers the rest of the caller's bytes cannot be trusted.
_CLOSING: Final = frozenset(
    (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
)


class CallForwarder:
    """Forwards callers' calls to targets.

    Explanation
    ===========

    The forwarder only reads the views; it keeps serving with the last one
    when no new one comes. It must be built inside a running event loop.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    views : ViewSource
        Views in force.
    outcomes : OutcomeSink
        Takes the evidence on versions.
    metrics : Metrics
        Takes counters once a second.
    timeline : Timeline
        Takes rare events.

    See Also
    --------
    mustardspur_node.calls.serving.run_forwarder : serves its handler.
    """

    __slots__ = (
        '_forwarding',
        '_loop',
        '_requests',
        '_settings',
        '_views',
        'counters',
        'directory',
        'in_flight',
        'upkeep',
    )

    def __init__(
        self,
        settings: Settings,
        views: ViewSource,
        outcomes: OutcomeSink,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Start without connections."""
        self._settings = settings
        self._views = views
        self._loop = asyncio.get_running_loop()
        self._requests = 0
        self.in_flight = InFlight()
        self.counters = Counters()
        self.directory = ServiceDirectory(settings, views)
        self._forwarding = Forwarding(outcomes, self.counters, self.in_flight)
        self.upkeep = Upkeep(
            self.directory,
            self._forwarding.accounts,
            self._forwarding.keyed,
            metrics,
            timeline,
        )

    @property
    def ready(self) -> bool:
        """Whether the node takes calls for its own service."""
        own = self._settings.service
        has_view = own is None or self._views.view(own) is not None
        return self.in_flight.accepting and has_view

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a caller; the handler of the node's server.

        Returns
        -------
        aiohttp.web.StreamResponse
            The target's answer, or the node's own with its outcome.
        """
        with self.in_flight.counted():
            try:
                return await self._handle(request)
            except CallFault as fault:
                return self._fault_response(fault)

    async def drain(self, timeout_s: float) -> int:
        """Refuse new calls and wait for those in flight.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        int
            Number of calls still in flight, 0 after a graceful drain.
        """
        return await self.in_flight.drain(timeout_s)

    async def close(self) -> None:
        """Close every connection to targets."""
        await self.upkeep.close()
        services = self.directory.services
        await asyncio.gather(*(service.close() for service in services))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.in_flight.accepting:
            raise not_run(HTTPStatus.SERVICE_UNAVAILABLE, 'node is draining')
        fault = shape_fault(request)
        if fault is not None:
            raise fault
        call = route_call(request, self.directory, self._loop.time())
        check_load(call.route, self.in_flight.count)
        call.headers = forwarded_request_headers(request, self._id(request))
        return await self._forwarding.forward(call)

    def _id(self, request: web.BaseRequest) -> str:
        given = request.headers.get(names.REQUEST_ID)
        if given:
            return given
        self._requests += 1
        node = self._settings.id
        return f'{node}-{self._requests}'

    def _fault_response(self, fault: CallFault) -> web.Response:
        self.counters.add(fault.outcome)
        response = fault_response(fault, self._settings.id)
        if fault.status in _CLOSING or not self.in_flight.accepting:
            response.force_close()
        return response
