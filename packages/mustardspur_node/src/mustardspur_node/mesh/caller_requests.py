"""Calls made of the requests of callers."""

import random

from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.mesh.model import MeshRoute
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings
from mustardspur_core.texts import show
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.allowances import NodeAllowances
from mustardspur_node.mesh.call_value import CallEvaluator
from mustardspur_node.mesh.caller_accounts import CallerAccounts, account_rank
from mustardspur_node.mesh.caller_uploads import CallerUploads
from mustardspur_node.mesh.calls import Headers, MeshCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.names import HOP_BY_HOP, HeaderNames
from mustardspur_node.mesh.request_body import RequestBody
from mustardspur_node.mesh.upload_refusals import UploadTerms
from mustardspur_node.mesh.view import MeshView, RouteIndex


class CallBuilder:
    """Reads requests and determines their account, deadline and value.

    Parameters
    ----------
    view : MeshView
        The routing table.
    names : HeaderNames
        Names of the headers.
    uploads : CallerUploads
        Reads the bodies.
    decisions : DecisionLog
        Receives the refusals of keys, and deadlines that are no number.
    mesh : MeshSettings
        Tolerance of the rate limits of accounts.
    metrics : Metrics
        Receives the counts of calls by account.

    Attributes
    ----------
    allowances : NodeAllowances
        Rate limits of the accounts.
    """

    __slots__ = (
        '_accounts',
        '_decisions',
        '_evaluated_routes',
        '_evaluator',
        '_names',
        '_node_header_names',
        '_uploads',
        '_view',
        'allowances',
        'origin_service',
    )

    def __init__(
        self,
        view: MeshView,
        names: HeaderNames,
        uploads: CallerUploads,
        decisions: DecisionLog,
        mesh: MeshSettings,
        metrics: Metrics,
    ) -> None:
        """Initialise without values of routes."""
        self.allowances = NodeAllowances(
            mesh, view, decisions, metrics, random.Random()
        )
        self._decisions = decisions
        self._view = view
        self._names = names
        self._uploads = uploads
        self._accounts = CallerAccounts(names, decisions)
        self._evaluator = CallEvaluator()
        self._evaluated_routes: RouteIndex | None = None
        # The node sets these headers itself; those of a caller are removed.
        self._node_header_names = frozenset(
            name.lower()
            for name in (
                names.deadline_ms,
                names.expected_target,
                names.origin_service,
            )
        )
        self.origin_service = ''

    def discard_route_values(self) -> None:
        """Discard the call values of routes removed from the table."""
        routes = self._view.routes
        if routes is not None and routes is not self._evaluated_routes:
            self._evaluated_routes = routes
            self._evaluator.remove_routes_except(set(routes.table.routes))

    async def build(
        self,
        message: RawRequestMessage,
        body: RequestBody,
        route: MeshRoute,
        started_s: float,
    ) -> MeshCall:
        """Return a request as a call, with its whole body and its account.

        Raises
        ------
        UnansweredCall
            If the call needs a key and presents none that is known, or if
            the rate limit of its account is reached.
        CallerBodyError
            If the body does not arrive in time, or finds no room.
        """
        caller_timeout_ms = self._caller_timeout_ms(message, route)
        wait_ms = min(caller_timeout_ms, route.timeout_ms)
        deadline_s = started_s + wait_ms / MS_PER_S
        request_id = message.headers.get(self._names.request_id, '')
        content = b''
        if not body.is_empty:
            content = await self._uploads.read(
                body,
                UploadTerms(
                    request_id=request_id,
                    route=route.name,
                    priority=route.priority,
                    deadline_s=deadline_s,
                ),
            )
        # The table may have been replaced while the body arrived.
        account = self._accounts.identify(
            self._view.routes,
            route,
            message.headers,
        )
        await self.allowances.admit(account, request_id)
        value = self._evaluator.evaluate(route, caller_timeout_ms)
        return MeshCall(
            request_id=request_id,
            route=route,
            account=account,
            method=message.method,
            path=message.path,
            headers=self._accounts.replace_headers(
                account,
                self._forwarded_headers(message),
            ),
            body=content,
            started_s=started_s,
            deadline_s=deadline_s,
            useful_s=started_s + value.useful_ms / MS_PER_S,
            rank=account_rank(account, value.rank),
        )

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
            stated_ms = float(stated)
        except ValueError:
            stated_ms = float('nan')
        if abs(stated_ms) < float('inf'):
            return stated_ms
        self._decisions.write(
            'deadline header is not a number',
            deadline=show(stated),
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
