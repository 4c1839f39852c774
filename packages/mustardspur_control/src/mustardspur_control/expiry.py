"""Background task that expires leases."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.settings import Settings
from mustardspur_core.tasks import background, run_periodically

from mustardspur_control.registry import Registry

# With a heartbeat of 1 s a lease ends at most 0.25 s late.
CHECKS_PER_HEARTBEAT: Final = 4


@asynccontextmanager
async def expiring(
    settings: Settings,
    registry: Registry,
) -> AsyncIterator[None]:
    """Expire the registry's leases for the length of a block."""
    interval_s = settings.intervals.heartbeat_s / CHECKS_PER_HEARTBEAT
    async with background(run_periodically(interval_s, registry.expire)):
        yield
