"""The node's share of the retry budget of all nodes."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_core.settings import MeshSettings

# Fraction of the shared budget that is used: the nodes' shares do not add up
# exactly while nodes are added or removed and while windows overlap. The rest
# also covers the calls that targets make within retries of another service,
# which are retries, too, but cannot be told from other calls without accounts.
# With 0.6, 2527 retries were seen in 10 s where 2489 were allowed.
USED_FRACTION: Final = 0.5


class MeshRetryBudget:
    """Limits retries to a fraction of the calls in a sliding window.

    Used with tables without accounts; see `SharedRetries` for the others.

    Parameters
    ----------
    mesh : MeshSettings
        Ratio, fixed part and window of the shared budget.
    """

    __slots__ = ('_calls', '_mesh', '_retries')

    def __init__(self, mesh: MeshSettings) -> None:
        """Initialise without calls."""
        self._mesh = mesh
        self._calls: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_call(self, service: str) -> None:
        """Count a call to a service."""
        self._record(self._calls, service)

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
