"""Entry point of calls: validation, routing, admission, error responses."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings.model import Settings
from mustardspur_core.timeline import Timeline

from mustardspur_node.calls import names
from mustardspur_node.calls.admission import check_load, route_call
from mustardspur_node.calls.counters import Counters
from mustardspur_node.calls.error_responses import (
    CallFault,
    fault_response,
    not_run,
)
from mustardspur_node.calls.forwarding import AdmittedCallForwarder
from mustardspur_node.calls.headers import forwarded_request_headers
from mustardspur_node.calls.in_flight import InFlightCalls
from mustardspur_node.calls.maintenance import Maintenance
from mustardspur_node.calls.services import ServiceDirectory
from mustardspur_node.request_validation import invalid_request_reason
from mustardspur_node.views import OutcomeSink, ViewSource

# After these responses the rest of the caller's bytes may not be a request,
# so the connection is closed.
_CLOSING_STATUSES: Final = frozenset(
    (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
)


class CallForwarder:
    """Forwards calls to targets.

    Explanation
    ===========

    The forwarder only reads the views and serves with the last one for as
    long as no new one arrives. It must be created inside a running event
    loop.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    views : ViewSource
        Views in force.
    outcomes : OutcomeSink
        Receives the outcome of each attempt by version.
    metrics : Metrics
        Receives the counters once a second.
    timeline : Timeline
        Receives rare events.

    See Also
    --------
    mustardspur_node.calls.serving.run_forwarder : serves `handle` by HTTP.
    """

    __slots__ = (
        '_forwarding',
        '_generated_ids',
        '_loop',
        '_settings',
        '_views',
        'counters',
        'directory',
        'in_flight',
        'maintenance',
    )

    def __init__(
        self,
        settings: Settings,
        views: ViewSource,
        outcomes: OutcomeSink,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        """Initialise the components without any connection."""
        self._settings = settings
        self._views = views
        self._loop = asyncio.get_running_loop()
        self._generated_ids = 0
        self.in_flight = InFlightCalls()
        self.counters = Counters()
        self.directory = ServiceDirectory(settings, views)
        self._forwarding = AdmittedCallForwarder(
            outcomes, self.counters, self.in_flight
        )
        self.maintenance = Maintenance(
            self.directory,
            self._forwarding.tracker,
            self._forwarding.idempotency_store,
            metrics,
            timeline,
        )

    @property
    def ready(self) -> bool:
        """Whether the node accepts calls for its own service."""
        own = self._settings.service
        has_view = own is None or self._views.view(own) is not None
        return self.in_flight.accepting and has_view

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request of a caller.

        Returns
        -------
        aiohttp.web.StreamResponse
            Response of the target, or an error response of the node itself
            with its outcome header.
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
            Maximum wait in seconds.

        Returns
        -------
        int
            Number of calls still in flight, 0 after a complete drain.
        """
        return await self.in_flight.drain(timeout_s)

    async def close(self) -> None:
        """Cancel the maintenance probes and close all target connections."""
        await self.maintenance.close()
        services = self.directory.services
        await asyncio.gather(*(service.close() for service in services))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.in_flight.accepting:
            raise not_run(HTTPStatus.SERVICE_UNAVAILABLE, 'node is draining')
        fault = _invalid_request_fault(request)
        if fault is not None:
            raise fault
        call = route_call(request, self.directory, self._loop.time())
        check_load(call.route, self.in_flight.count)
        call.headers = forwarded_request_headers(
            request, self._request_id(request)
        )
        return await self._forwarding.forward(call)

    def _request_id(self, request: web.BaseRequest) -> str:
        received_id = request.headers.get(names.REQUEST_ID)
        if received_id:
            return received_id
        self._generated_ids += 1
        node = self._settings.id
        return f'{node}-{self._generated_ids}'

    def _fault_response(self, fault: CallFault) -> web.Response:
        self.counters.add(fault.outcome)
        response = fault_response(fault, self._settings.id)
        if fault.status in _CLOSING_STATUSES or not self.in_flight.accepting:
            response.force_close()
        return response


def _invalid_request_fault(request: web.BaseRequest) -> CallFault | None:
    """Return the fault of an invalid request, None for a valid one."""
    reason = invalid_request_reason(
        request.method,
        request.raw_path,
        request.version,
        request.headers,
    )
    if reason:
        return not_run(HTTPStatus.BAD_REQUEST, reason)
    return None
