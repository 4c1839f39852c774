"""The node's part of the budget for repeated calls that all nodes share."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_core.settings import MeshSettings

# Part of the shared budget that is used: nodes that come and go, and windows
# that overlap, make the sum of the parts inexact.
USED_PART: Final = 0.6


class RetryBudget:
    """Limits repeats to a part of the calls in a sliding window.

    Parameters
    ----------
    mesh : MeshSettings
        The bounds of the shared budget.
    """

    __slots__ = ('_calls', '_mesh', '_repeats')

    def __init__(self, mesh: MeshSettings) -> None:
        """Start without calls."""
        self._mesh = mesh
        self._calls: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def note_call(self, service: str) -> None:
        """Count a call to a service."""
        self._note(self._calls, service)

    def take(self, service: str, nodes: int) -> bool:
        """Use up a repeat if the budget has one left.

        Parameters
        ----------
        service : str
            The service that is called.
        nodes : int
            Nodes that share the fixed part of the budget.
        """
        used = len(self._recent(self._repeats, service))
        calls = len(self._recent(self._calls, service))
        fixed = self._mesh.retry_slack / max(nodes, 1)
        limit = USED_PART * (self._mesh.retry_ratio * calls + fixed)
        if used + 1 > limit:
            return False
        self._note(self._repeats, service)
        return True

    def _note(self, times: dict[str, deque[float]], service: str) -> None:
        self._recent(times, service).append(_now())

    def _recent(
        self,
        times: dict[str, deque[float]],
        service: str,
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        oldest_s = _now() - self._mesh.retry_window_s
        while recent and recent[0] < oldest_s:
            recent.popleft()
        return recent


def _now() -> float:
    return asyncio.get_running_loop().time()
