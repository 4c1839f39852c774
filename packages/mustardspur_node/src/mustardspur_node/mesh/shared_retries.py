"""Retries of a node where the routing table has accounts."""

import asyncio
import random
from typing import Final

from mustardspur_core.settings import MeshSettings

from mustardspur_node.mesh.fallback_allowance import FallbackAllowance
from mustardspur_node.mesh.retry_credit import RetryCredit

# Parts of the fixed number of retries that the nodes use in a window, and that
# they hold before it.
EQUAL_RATE_PART: Final = 0.5
EQUAL_BURST_PART: Final = 0.2


class ServiceRetries:
    """Retries of one service at a node.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    generator : random.Random
        Source of the draws.

    Attributes
    ----------
    credit : RetryCredit
        Credit that the calls of this node earn.
    """

    __slots__ = ('_equal_part', '_mesh', '_nested', 'credit')

    def __init__(
        self,
        mesh: MeshSettings,
        generator: random.Random,
    ) -> None:
        """Initialise without calls."""
        self._mesh = mesh
        self.credit = RetryCredit(
            mesh.retry_ratio, mesh.retry_window_s, generator
        )
        self._equal_part = FallbackAllowance(generator)
        # Expected nested retries that do not add up to a whole one yet.
        self._nested: float = 0

    def is_nested_retry(self, repeated: float) -> bool:
        """Add the probability of a nested retry; see `SharedRetries`."""
        self._nested += repeated
        if self._nested < 1:
            return False
        self._nested -= 1
        return True

    def try_take_equal_part(self, nodes: int, now_s: float) -> bool:
        """Take a retry of this node's equal part of the fixed number."""
        part = self._mesh.retry_slack / max(nodes, 1)
        if not part:
            return False
        per_s = EQUAL_RATE_PART * part / self._mesh.retry_window_s
        capacity = EQUAL_BURST_PART * part
        return not self._equal_part.try_take(per_s, capacity, now_s)


class SharedRetries:
    """Limits the retries of all nodes in any window.

    Explanation
    ===========

    The limit is a ratio of the calls that arrive at targets in the window,
    plus a fixed number. Each node uses the ratio of its own calls, see
    `RetryCredit`, and a part of the fixed number.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    generator : random.Random
        Source of the draws.
    """

    __slots__ = ('_by_service', '_generator', '_mesh', '_nodes')

    def __init__(self, mesh: MeshSettings, generator: random.Random) -> None:
        """Initialise without calls."""
        self._mesh = mesh
        self._generator = generator
        self._by_service: dict[str, ServiceRetries] = {}
        self._nodes = KnownNodes(mesh.retry_window_s)

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

    def try_acquire(self, service: str, nodes: int) -> bool:
        """Use a retry and return whether there was one.

        Parameters
        ----------
        service : str
            The service that is called.
        nodes : int
            Number of nodes that share the fixed part.
        """
        now_s = _now()
        retries = self._service(service)
        return (
            retries.credit.try_take(now_s)
            or retries.try_take_equal_part(
                self._nodes.largest(nodes, now_s), now_s
            )
            or retries.credit.try_draw(now_s)
        )

    def _service(self, service: str) -> ServiceRetries:
        retries = self._by_service.get(service)
        if retries is None:
            retries = ServiceRetries(self._mesh, self._generator)
            self._by_service[service] = retries
        return retries


class KnownNodes:
    """Largest number of nodes that was known within a window.

    A node that is told of few nodes only, by a control instance that has just
    started, would otherwise use the parts of all others.
    """

    __slots__ = ('_largest', '_seen_s', '_window_s')

    def __init__(self, window_s: float) -> None:
        """Initialise without nodes."""
        self._window_s = window_s
        self._largest = 0
        self._seen_s = float('-inf')

    def largest(self, nodes: int, now_s: float) -> int:
        """Return the largest number, given the present one."""
        if nodes >= self._largest or now_s > self._seen_s + self._window_s:
            self._largest = nodes
            self._seen_s = now_s
        return self._largest


def _now() -> float:
    return asyncio.get_running_loop().time()
