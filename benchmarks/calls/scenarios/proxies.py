"""A proxy with its targets, under the load of both users."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any, Final

from benchmarks.calls.figures import CallResult, parse_results
from benchmarks.calls.processes import (
    RoleProcess,
    run_load,
    run_role,
    run_targets,
    target_settings,
)
from benchmarks.calls.traffic import CallKind, all_kinds

TARGETS: Final = 4
SLOTS: Final = 3
DEADLINE_MS: Final = 600
ProxyWithTargets = tuple[RoleProcess, list[RoleProcess]]
PROXIES: Final = ('node', 'naive')


@asynccontextmanager
async def run_proxy(name: str) -> AsyncIterator[ProxyWithTargets]:
    """Yield a proxy and its targets; stop them at the end of the block."""
    async with run_targets(TARGETS, SLOTS) as targets:
        settings = target_settings(targets, SLOTS)
        async with run_role(name, targets=settings) as proxy:
            yield proxy, targets


async def load_proxy(
    proxy: RoleProcess,
    rate: float,
    duration_s: float,
    kinds: Sequence[CallKind] | None = None,
    **settings: Any,
) -> list[CallResult]:
    """Run an open loop with the calls of the users; return the results.

    Parameters
    ----------
    proxy : RoleProcess
        Process to call.
    rate : float
        Mean rate in calls per second.
    duration_s : float
        Length of the run.
    kinds : sequence of CallKind, optional
        Calls to send, by default those of both users.
    **settings
        Further settings of the load generator.
    """
    return parse_results(
        await run_load(
            addresses={'proxy': proxy.address},
            calls=[
                [kind.method, kind.path, kind.weight]
                for kind in kinds or all_kinds()
            ],
            rate=rate,
            duration_s=duration_s,
            deadline_ms=DEADLINE_MS,
            **settings,
        ),
    )
