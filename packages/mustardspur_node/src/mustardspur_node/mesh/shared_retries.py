"""Retries of a node where the routing table has accounts."""

import asyncio
import random

from mustardspur_core.settings import MeshSettings

from mustardspur_node.mesh.allowance_requests import AllowanceRequests
from mustardspur_node.mesh.known_nodes import KnownNodes
from mustardspur_node.mesh.retry_allowance import RetryAllowance
from mustardspur_node.mesh.retry_credit import RetryCredit
from mustardspur_node.mesh.view import MeshView


class ServiceRetries:
    """Retries of one service at a node.

    Parameters
    ----------
    service : str
        The service that is called.
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    nodes : KnownNodes
        Nodes that share the fixed part.
    generator : random.Random
        Source of the draws.

    Attributes
    ----------
    allowance : RetryAllowance
        Tokens that the control instance granted.
    credit : RetryCredit
        Credit that the calls of this node earn.
    """

    __slots__ = ('_nested', 'allowance', 'credit')

    def __init__(
        self,
        service: str,
        mesh: MeshSettings,
        nodes: KnownNodes,
        generator: random.Random,
    ) -> None:
        """Initialise without calls."""
        self.allowance = RetryAllowance(service)
        self.credit = RetryCredit(mesh, nodes, generator)
        # Expected nested retries that do not add up to a whole one yet.
        self._nested: float = 0

    def is_nested_retry(self, repeated: float) -> bool:
        """Add the probability of a nested retry; see `SharedRetries`."""
        self._nested += repeated
        if self._nested < 1:
            return False
        self._nested -= 1
        return True


class SharedRetries:
    """Limits the retries of all nodes in any window.

    Explanation
    ===========

    The limit is a ratio of the calls that arrive at targets in the window,
    plus a fixed number. Each node uses the ratio of its own calls and an equal
    part of the fixed number, see `RetryCredit`, and what the control instances
    grant of that number to the nodes that need it, see `RetryAllowance`.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    view : MeshView
        Nodes that share the fixed part.
    generator : random.Random
        Source of the draws.
    requests : AllowanceRequests
        Requests to the control instance.

    Attributes
    ----------
    nested : int
        Calls that counted as retries from their first arrival on.
    with_token : int
        Retries that used a token of a control instance.
    """

    __slots__ = (
        '_by_service',
        '_generator',
        '_mesh',
        '_nodes',
        '_requests',
        'nested',
        'with_token',
    )

    def __init__(
        self,
        mesh: MeshSettings,
        view: MeshView,
        generator: random.Random,
        requests: AllowanceRequests,
    ) -> None:
        """Initialise without calls."""
        self._requests = requests
        self.nested = 0
        self.with_token = 0
        self._mesh = mesh
        self._generator = generator
        self._by_service: dict[str, ServiceRetries] = {}
        self._nodes = KnownNodes(view, mesh.retry_window_s)

    def is_nested_retry(self, service: str, repeated: float) -> bool:
        """Return whether a call that a target makes counts as a retry.

        A call within a run that is itself a retry is a retry of the service
        that it calls. Which run makes it is unknown, so calls are selected in
        the proportion of such runs.

        Parameters
        ----------
        service : str
            The service that is called.
        repeated : float
            Probability that the outer call is a retry, 0 to 1.
        """
        return self._service(service).is_nested_retry(repeated)

    def record_first_arrival(self, service: str, *, is_retry: bool) -> None:
        """Count a call at its first arrival at a target.

        Calls that never arrive earn nothing. A call that is a nested retry
        uses a retry instead.
        """
        credit = self._service(service).credit
        if is_retry:
            credit.record_nested_retry(_now())
            self.nested += 1
        else:
            credit.record_call(_now())

    def may_run_retries(self) -> bool:
        """Return whether the local target may run retries of other calls.

        The calls that it makes within them would exceed the retries of a
        service otherwise.
        """
        now_s = _now()
        return not any(
            each.credit.is_overdrawn(now_s)
            for each in self._by_service.values()
        )

    def try_acquire(self, service: str) -> bool:
        """Use a retry of a service and return whether there was one."""
        now_s = _now()
        retries = self._service(service)
        acquired = retries.credit.try_take(now_s)
        if not acquired and retries.allowance.try_take(now_s):
            self.with_token += 1
            acquired = True
        acquired = acquired or retries.credit.try_draw(now_s)
        if not retries.credit.has_whole:
            self._ask_ahead(retries.allowance, now_s)
        return acquired

    def _ask_ahead(self, allowance: RetryAllowance, now_s: float) -> None:
        """Ask for tokens for further failures, if they are missing."""
        is_attached = self._requests.is_attached
        if is_attached and allowance.record_failure(now_s):
            self._requests.add(allowance, now_s)

    def _service(self, service: str) -> ServiceRetries:
        retries = self._by_service.get(service)
        if retries is None:
            retries = ServiceRetries(
                service, self._mesh, self._nodes, self._generator
            )
            self._by_service[service] = retries
        return retries


def _now() -> float:
    return asyncio.get_running_loop().time()
