"""Tests of the planned stop of a node."""

import asyncio
from typing import Any, Final
from unittest.mock import MagicMock

from mustardspur_node.mesh.draining import Drain
from mustardspur_node.mesh.stop_times import StopTimes

_GRACE_S: Final = 1.2
# Upper bound for a drain that hangs.
_HANG_LIMIT_S: Final = 10


class _Flooded:
    """Callers of which one more connects in each iteration of the loop."""

    in_flight = 0
    unanswered_connections = 0

    def __init__(self) -> None:
        self.open_connections = 0
        self._accepted = 0

    @property
    def accepted(self) -> int:
        self._accepted += 1
        return self._accepted

    def drain_connections(self) -> None:
        """Leave none open."""

    def stop_listening(self) -> None:
        """Go on to connect."""


async def test_flood_of_connections_ends_no_drain() -> None:
    """Guards against a planned stop that waits for the end of a flood, and is
    killed with all calls in flight.
    """
    idle: Any = MagicMock()
    idle.admission.capacity.running = 0
    idle.running = 0
    idle.accepted = 0
    flooded: Any = _Flooded()
    drain = Drain(flooded, idle, idle, idle)
    async with asyncio.timeout(_HANG_LIMIT_S):
        await drain.run(StopTimes(_GRACE_S, asyncio.get_running_loop().time()))
    assert flooded.accepted
