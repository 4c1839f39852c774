"""HTTP server for the callers on a node's instance."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final

from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.mesh.model import DEFAULT_LIMITS, MeshRoute
from mustardspur_core.metrics import Metrics
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_value import CallEvaluator
from mustardspur_node.mesh.caller_answers import (
    CallerAnswer,
    forward_answer,
    node_answer,
)
from mustardspur_node.mesh.caller_connection import (
    CallerBodyError,
    CallerConnection,
    ReadBody,
)
from mustardspur_node.mesh.calls import Headers, MeshCall, UnansweredCall
from mustardspur_node.mesh.names import HOP_BY_HOP, HeaderNames
from mustardspur_node.mesh.placing import Placer
from mustardspur_node.mesh.view import MeshView, RouteIndex
from mustardspur_node.request_validation import invalid_request_reason

_LOG: Final = logging.getLogger(__name__)

BACKLOG: Final = 1024
# New connections between two removals of closed ones.
_PRUNE_CONNECTIONS: Final = 64


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
    """

    __slots__ = (
        '_connections',
        '_evaluated_routes',
        '_evaluator',
        '_metrics',
        '_names',
        '_node_header_names',
        '_placer',
        '_server',
        '_view',
        'draining',
        'in_flight',
        'origin_service',
    )

    def __init__(
        self,
        view: MeshView,
        placer: Placer,
        names: HeaderNames,
        metrics: Metrics,
    ) -> None:
        """Initialise the server without connections."""
        self._view = view
        self._placer = placer
        self._names = names
        self._metrics = metrics
        self._evaluator = CallEvaluator()
        self._evaluated_routes: RouteIndex | None = None
        self._connections: set[CallerConnection] = set()
        # The node sets these headers itself; those of a caller are removed.
        self._node_header_names = frozenset(
            name.lower()
            for name in (
                names.deadline_ms,
                names.expected_target,
                names.origin_service,
            )
        )
        self._server: asyncio.Server | None = None
        self.draining = False
        self.in_flight = 0
        self.origin_service = ''

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[None]:
        """Listen for callers while the context is active."""
        host, _, port = address.rpartition(':')
        server = await asyncio.get_running_loop().create_server(
            self._create_connection,
            host,
            int(port),
            backlog=BACKLOG,
        )
        self._server = server
        try:
            yield
        finally:
            server.close()
            self.drain_connections()

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        self._remove_closed()
        return len(self._connections)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def discard_route_values(self) -> None:
        """Discard the call values of routes removed from the table."""
        routes = self._view.routes
        if routes is not None and routes is not self._evaluated_routes:
            self._evaluated_routes = routes
            self._evaluator.remove_routes_except(set(routes.table.routes))

    def drain_connections(self) -> None:
        """Close each connection once it has no request in flight."""
        self._remove_closed()
        for connection in self._connections:
            connection.drain()

    async def answer(
        self,
        message: RawRequestMessage,
        read_body: ReadBody,
    ) -> CallerAnswer:
        """Answer a request of a caller."""
        self.in_flight += 1
        started_s = _now()
        try:
            answer = await self._answer(message, read_body, started_s)
        except CallerBodyError as fault:
            answer = node_answer(fault.status, fault.reason, closes=True)
        except UnansweredCall as unanswered:
            answer = self._refusal_answer(unanswered)
        except Exception:
            # Whether the call has run is unknown, so the answer promises
            # nothing.
            _LOG.exception(
                'call failed unexpectedly',
                extra={'request': message.headers.get(self._names.request_id)},
            )
            answer = node_answer(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                'unexpected error of the node',
            )
        finally:
            self.in_flight -= 1
        self._metrics.incr(f'calls.answered.{answer.status}')
        self._metrics.timing('calls.ms', (_now() - started_s) * MS_PER_S)
        return answer

    def _remove_closed(self) -> None:
        self._connections = {
            each for each in self._connections if each.connected
        }

    def _create_connection(self) -> CallerConnection:
        routes = self._view.routes
        limits = routes.table.limits if routes else DEFAULT_LIMITS
        connection = CallerConnection(
            limits,
            self.answer,
            lambda: self.draining,
        )
        if len(self._connections) % _PRUNE_CONNECTIONS == 0:
            self._remove_closed()
        self._connections.add(connection)
        return connection

    async def _answer(
        self,
        message: RawRequestMessage,
        read_body: ReadBody,
        started_s: float,
    ) -> CallerAnswer:
        reason = invalid_request_reason(
            message.method,
            message.path,
            message.version,
            message.headers,
        )
        if reason:
            return node_answer(HTTPStatus.BAD_REQUEST, reason, closes=True)
        if self._view.routes is None:
            request_id = message.headers.get(self._names.request_id)
            raise self._placer.refuse_without_table(request_id)
        host = message.headers['host'].partition(':')[0].lower()
        route = self._view.routes.find(host, message.path)
        if route is None:
            await read_body()
            self._placer.log.decisions.write(
                'no route',
                host=host,
                path=message.path,
                request=message.headers.get(self._names.request_id),
                table_index=self._view.table_index,
            )
            return node_answer(HTTPStatus.NOT_FOUND, 'no route matches')
        caller_timeout_ms = self._caller_timeout_ms(message, route)
        wait_ms = min(caller_timeout_ms, route.timeout_ms)
        deadline_s = started_s + wait_ms / MS_PER_S
        value = self._evaluator.evaluate(route, caller_timeout_ms)
        body = await self._read_body_in_time(read_body, deadline_s)
        return forward_answer(
            await self._placer.place(
                MeshCall(
                    request_id=message.headers.get(self._names.request_id, ''),
                    route=route,
                    method=message.method,
                    path=message.path,
                    headers=self._forwarded_headers(message),
                    body=body,
                    started_s=started_s,
                    deadline_s=deadline_s,
                    useful_s=started_s + value.useful_ms / MS_PER_S,
                    rank=value.rank,
                ),
            ),
        )

    async def _read_body_in_time(
        self,
        read_body: ReadBody,
        deadline_s: float,
    ) -> bytes:
        try:
            async with asyncio.timeout_at(deadline_s):
                return await read_body()
        except TimeoutError as error:
            raise CallerBodyError(
                HTTPStatus.REQUEST_TIMEOUT,
                'request body did not arrive in time',
            ) from error

    def _caller_timeout_ms(
        self,
        message: RawRequestMessage,
        route: MeshRoute,
    ) -> float:
        """Return the remaining time stated by the caller, in ms."""
        stated = message.headers.get(self._names.deadline_ms)
        if stated is None:
            return route.timeout_ms
        try:
            return float(stated)
        except ValueError:
            _LOG.info(
                'deadline header is not a number', extra={'deadline': stated}
            )
            return route.timeout_ms

    def _forwarded_headers(self, message: RawRequestMessage) -> Headers:
        listed = message.headers.get('connection', '').lower()
        dropped = {name.strip() for name in listed.split(',')}
        headers = [
            [name, text]
            for name, text in message.headers.items()
            if name.lower() not in HOP_BY_HOP
            and name.lower() not in self._node_header_names
            and name.lower() not in dropped
        ]
        headers.append([self._names.origin_service, self.origin_service])
        return headers

    def _refusal_answer(self, unanswered: UnansweredCall) -> CallerAnswer:
        headers: Headers = []
        if unanswered.status == HTTPStatus.SERVICE_UNAVAILABLE:
            after_s = unanswered.retry_after_s
            headers.append([self._names.retry_after, str(after_s)])
        return node_answer(unanswered.status, unanswered.reason, headers)


def _now() -> float:
    return asyncio.get_running_loop().time()
