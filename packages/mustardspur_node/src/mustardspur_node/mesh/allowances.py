"""Rate limits of client accounts at a node, shared with all other nodes."""

import asyncio
import random
from http import HTTPStatus

from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
)
from mustardspur_core.mesh.model import ClientAccount
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import MeshSettings
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import FrameStream

from mustardspur_node.mesh.allowance_metrics import AllowanceMetrics
from mustardspur_node.mesh.allowance_requests import (
    WAIT_S,
    AllowanceRequests,
)
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.limit_allowance import (
    LimitAllowance,
    Waiter,
    end_waits,
)
from mustardspur_node.mesh.view import MeshView


class NodeAllowances:
    """Admits calls of accounts within their limits.

    Explanation
    ===========

    Requests are batched over all limits. A call whose grant does not come
    within `WAIT_S` is decided by the node's own part of the limit, and so are
    all further ones at once, until a grant comes in time.

    Parameters
    ----------
    mesh : MeshSettings
        Slack of the limits.
    view : MeshView
        Table and number of nodes.
    decisions : DecisionLog
        Receives the refusals.
    metrics : Metrics
        Receives the counts of calls by account.
    random_source : random.Random
        Source of the times at which a node without a control instance has
        tokens.

    Attributes
    ----------
    requests : AllowanceRequests
        Requests to the control instance, for these and other limits.
    """

    __slots__ = (
        '_by_account',
        '_decisions',
        '_mesh',
        '_metrics',
        '_random',
        '_view',
        'requests',
    )

    def __init__(
        self,
        mesh: MeshSettings,
        view: MeshView,
        decisions: DecisionLog,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        """Initialise without a control instance."""
        self._mesh = mesh
        self._view = view
        self._decisions = decisions
        self._metrics = AllowanceMetrics(metrics)
        self._random = random_source
        self._by_account: dict[str, LimitAllowance] = {}
        self.requests = AllowanceRequests()

    async def admit(
        self,
        account: ClientAccount | None,
        request_id: str | None,
    ) -> None:
        """Return once a call of an account may run.

        Parameters
        ----------
        account : ClientAccount or None
            Account of the call; a call without one is not limited.
        request_id : str or None
            Identifier of the request for the log.

        Raises
        ------
        UnansweredCall
            With status 429 if the call is beyond the limit.
        """
        if account is None or not account.rate_per_s:
            return
        now_s = _now()
        allowance = self._allowance(account, now_s)
        if allowance.try_admit(now_s):
            if allowance.has_news:
                self.requests.add(allowance, now_s)
        else:
            retry_s = await self._retry_s(allowance, now_s)
            if retry_s:
                self._refuse(allowance, retry_s, request_id)
        allowance.admitted += 1

    def attach(self, stream: FrameStream) -> None:
        """Ask a control instance that accepts requests from now on."""
        if not self.requests.is_attached_to(stream):
            self.detach()
            self.requests.attach(stream)

    def detach(self) -> None:
        """Decide without a control instance from now on."""
        self.requests.detach()
        for allowance in self._by_account.values():
            end_waits(allowance.waiters)
            allowance.waiters = []
            allowance.detach()

    def apply(self, grant: AllowanceGrant) -> None:
        """Apply the answer to the oldest request.

        Raises
        ------
        MalformedFrame
            If it does not match the request.
        """
        self.requests.apply(grant)

    def check(self) -> None:
        """Send the counts of calls and remove accounts without a limit."""
        routes = self._view.routes
        accounts = routes.table.accounts if routes else {}
        self._metrics.send(self._by_account, accounts)
        for name in self._by_account.keys() - accounts.keys():
            self._by_account.pop(name)

    def _allowance(
        self,
        account: ClientAccount,
        now_s: float,
    ) -> LimitAllowance:
        allowance = self._by_account.get(account.name)
        if allowance is None:
            allowance = LimitAllowance(account, self._random, now_s)
            self._by_account[account.name] = allowance
        allowance.account = account
        return allowance

    async def _retry_s(
        self,
        allowance: LimitAllowance,
        now_s: float,
    ) -> float:
        """Return 0 for an admitted call, else the time until a retry."""
        refused_s = allowance.refused_for_s(now_s)
        if self.requests.is_attached and refused_s > 0:
            return refused_s
        granted: float | None = None
        if self.requests.is_attached and not self.requests.is_silent:
            granted = await self._wait(allowance, now_s)
        else:
            self.requests.add(allowance, now_s)
        if granted is not None:
            return granted
        return allowance.fall_back(
            len(self._view.targets_by_node),
            self._mesh.limit_slack,
            _now(),
        )

    async def _wait(
        self,
        allowance: LimitAllowance,
        now_s: float,
    ) -> float | None:
        loop = asyncio.get_running_loop()
        waiter: Waiter = loop.create_future()
        allowance.waiters.append(waiter)
        self.requests.add(allowance, now_s)
        timer = loop.call_later(WAIT_S, self._give_up, waiter)
        waiter.add_done_callback(lambda _: timer.cancel())
        return await waiter

    def _give_up(self, waiter: Waiter) -> None:
        if not waiter.done():
            self.requests.is_silent = True
            waiter.set_result(None)

    def _refuse(
        self,
        allowance: LimitAllowance,
        retry_s: float,
        request_id: str | None,
    ) -> None:
        """Raise the refusal of a call beyond the limit."""
        allowance.refused += 1
        account = allowance.account
        is_granted = self.requests.is_attached and not self.requests.is_silent
        self._decisions.write(
            'rate limit reached',
            account=account.name,
            request=request_id,
            limit_per_s=account.rate_per_s,
            burst=account.burst,
            decided_by='control instance' if is_granted else 'node alone',
            nodes=len(self._view.targets_by_node),
            grant_age_ms=_age_ms(allowance.granted_s),
            retry_after_ms=round(retry_s * MS_PER_S),
        )
        raise UnansweredCall(
            HTTPStatus.TOO_MANY_REQUESTS,
            'the rate limit of the account is reached',
            retry_s,
        )


def _age_ms(granted_s: float | None) -> int | None:
    return None if granted_s is None else round((_now() - granted_s) * MS_PER_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
