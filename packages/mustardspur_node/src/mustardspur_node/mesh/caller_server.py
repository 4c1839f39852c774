"""HTTP server for the callers on a node's instance."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.listening import listen
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.caller_answers import (
    CallerAnswer,
    failed_answer,
    forward_answer,
    malformed_answer,
    refusal_answer,
    unrouted_answer,
)
from mustardspur_node.mesh.caller_connections import CallerConnections, ReadBody
from mustardspur_node.mesh.caller_requests import CallBuilder
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.view import MeshView
from mustardspur_node.request_validation import invalid_request_reason

_LOG: Final = logging.getLogger(__name__)

BACKLOG: Final = 1024
# Time for the body of a request that no route matches. An answer at once would
# close the connections of callers that send it just after the head.
BODY_TIME_S: Final = 0.2


class CallerServer:
    """Routes the calls of callers on the instance and answers them.

    Parameters
    ----------
    view : MeshView
        The routing table.
    placer : Placer
        Runs calls at targets.
    names : HeaderNames
        Names of the headers.
    metrics : Metrics
        Receives the counts and times of calls.
    mesh : MeshSettings
        Tolerance of the rate limits of accounts.

    Attributes
    ----------
    allowances : NodeAllowances
        Rate limits of the accounts.
    """

    __slots__ = (
        '_answers',
        '_calls',
        '_connections',
        '_metrics',
        '_names',
        '_placer',
        '_server',
        '_view',
        'allowances',
        'draining',
        'in_flight',
    )

    def __init__(
        self,
        view: MeshView,
        placer: Placer,
        names: HeaderNames,
        metrics: Metrics,
        mesh: MeshSettings,
    ) -> None:
        """Initialise the server without connections."""
        self._view = view
        self._placer = placer
        self._names = names
        self._metrics = metrics
        bodies = placer.link.bodies
        self._answers = bodies.answers
        self._calls = CallBuilder(
            view,
            names,
            bodies.uploads,
            placer.log.decisions,
            mesh,
            metrics,
        )
        self.allowances = self._calls.allowances
        # One request asks for the tokens of all limits.
        self.allowances.requests = placer.retries.requests
        self._connections = CallerConnections(names.retry_after, bodies.held)
        self._server: asyncio.Server | None = None
        self.draining = False
        self.in_flight = 0

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[None]:
        """Listen for callers while the context is active."""
        server = await listen(self._create_connection, address, BACKLOG)
        self._server = server
        try:
            yield
        finally:
            server.close()
            self.drain_connections()

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections.connected())

    @property
    def accepted(self) -> int:
        """Number of connections that were accepted, and refused, so far."""
        return self._connections.accepted

    @property
    def unanswered_connections(self) -> int:
        """Number of connections whose callers may not have all answers."""
        connections = self._connections.connected()
        return sum(not each.is_answered for each in connections)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def discard_route_values(self) -> None:
        """Discard the call values of routes removed from the table."""
        self._calls.discard_route_values()

    @property
    def origin_service(self) -> str:
        """Service that forwarded calls state as their origin."""
        return self._calls.origin_service

    def set_origin(self, service: str) -> None:
        """Set the service that forwarded calls state as their origin."""
        self._calls.origin_service = service

    def drain_connections(self) -> None:
        """Close each connection once it has no request in flight."""
        for connection in self._connections.connected():
            connection.drain()

    async def answer(
        self,
        message: RawRequestMessage,
        body: ReadBody,
    ) -> CallerAnswer:
        """Answer a request of a caller."""
        self.in_flight += 1
        started_s = _now()
        try:
            answer = await self._answer(message, body, started_s)
        except UnansweredCall as unanswered:
            answer = refusal_answer(unanswered, self._names)
        except Exception:
            _LOG.exception(
                'call failed unexpectedly',
                extra={'request': message.headers.get(self._names.request_id)},
            )
            answer = failed_answer()
        finally:
            self.in_flight -= 1
            body.end_read()
        self._answers.hold_until_written(body, len(answer.body))
        self._metrics.incr(f'calls.answered.{answer.status}')
        self._metrics.timing('calls.ms', (_now() - started_s) * MS_PER_S)
        return answer

    def _create_connection(self) -> asyncio.BaseProtocol:
        return self._connections.add(
            lambda: self._view.limits,
            self.answer,
            lambda: self.draining,
        )

    async def _answer(
        self,
        message: RawRequestMessage,
        body: ReadBody,
        started_s: float,
    ) -> CallerAnswer:
        reason = invalid_request_reason(
            message.method,
            message.path,
            message.version,
            message.headers,
        )
        if reason:
            return malformed_answer(reason)
        if self._view.routes is None:
            request_id = message.headers.get(self._names.request_id)
            raise self._placer.refuse_without_table(request_id)
        host = message.headers['host'].partition(':')[0].lower()
        route = self._view.routes.find(host, message.path)
        if route is None:
            self._placer.log.decisions.write(
                'no route',
                host=host,
                path=message.path,
                request=message.headers.get(self._names.request_id),
                table_index=self._view.table_index,
            )
            await body.discard(BODY_TIME_S)
            return unrouted_answer()
        return forward_answer(
            await self._placer.place(
                await self._calls.build(message, body, route, started_s),
            ),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
