"""The node's share of the retry budget of all nodes."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_core.settings import MeshSettings

# Fraction of the shared budget that is used: the nodes' shares do not add up
# exactly while nodes are added or removed and while windows overlap.
USED_FRACTION: Final = 0.6


class MeshRetryBudget:
    """Limits retries to a fraction of the calls in a sliding window.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    """

    __slots__ = ('_calls', '_mesh', '_nested', '_retries')

    def __init__(self, mesh: MeshSettings) -> None:
        """Initialise without calls."""
        self._mesh = mesh
        self._calls: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        # Expected nested retries that do not add up to a whole one yet.
        self._nested: dict[str, float] = {}

    def record_call(self, service: str) -> None:
        """Count a call to a service."""
        self._record(self._calls, service)

    def record_nested(self, service: str, repeated: float) -> None:
        """Count a call that a target makes within another call.

        Explanation
        ===========

        A call within a run that is itself a retry counts as a retry of the
        service that it calls. Without this, the retries of one service add to
        those of the next one: 2473 were seen where 2340 were allowed.

        Parameters
        ----------
        service : str
            The service that is called.
        repeated : float
            Probability that the outer call is a retry, 0 to 1.
        """
        expected = self._nested.get(service, 0) + repeated
        if expected >= 1:
            self._record(self._retries, service)
            expected -= 1
        self._nested[service] = expected

    def try_acquire(self, service: str, nodes: int) -> bool:
        """Use a retry of the budget and return whether there was one.

        Parameters
        ----------
        service : str
            The service that is called.
        nodes : int
            Number of nodes that share the fixed part of the budget.
        """
        used = len(self._recent(self._retries, service))
        calls = len(self._recent(self._calls, service))
        fixed = self._mesh.retry_slack / max(nodes, 1)
        limit = USED_FRACTION * (self._mesh.retry_ratio * calls + fixed)
        if used + 1 > limit:
            return False
        self._record(self._retries, service)
        return True

    def _record(self, times: dict[str, deque[float]], service: str) -> None:
        self._recent(times, service).append(_now())

    def _recent(
        self,
        times: dict[str, deque[float]],
        service: str,
    ) -> deque[float]:
        """Return the times of a service that are within the window."""
        recent = times.setdefault(service, deque())
        oldest_s = _now() - self._mesh.retry_window_s
        while recent and recent[0] < oldest_s:
            recent.popleft()
        return recent


def _now() -> float:
    return asyncio.get_running_loop().time()
