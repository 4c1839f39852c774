"""Retry amplification at a failing target at the end of a call chain."""

from typing import Final

from benchmarks.calls.figures import Figures
from benchmarks.calls.processes import (
    read_counts,
    run_load,
    run_role,
    run_targets,
    send_command,
    target_settings,
)

DEPTH: Final = 9
# With more attempts, the plain proxy would need minutes for a single call.
ATTEMPTS: Final = 2
_CHAIN: Final = (('GET', '/chain', 1),)


async def measure_amplification(
    proxy_name: str,
    rate: float,
    duration_s: float,
) -> Figures:
    """Return the runs of the last target for each call at the first level."""
    async with run_targets(1, 1000, depth=DEPTH) as targets:
        async with run_role(
            proxy_name,
            targets=target_settings(targets, 1000),
            attempts=ATTEMPTS,
            services=[f'level-{level}' for level in range(1, DEPTH + 1)],
        ) as proxy:
            await send_command(
                targets[0].control, '/behave', {'next': proxy.address}
            )
            results = await run_load(
                addresses={'proxy': proxy.address},
                calls=_CHAIN,
                rate=rate,
                duration_s=duration_s,
                deadline_ms=20000,
                seed=5,
                headers={'x-level': '1', 'x-mustardspur-service': 'level-1'},
            )
            counts = (await read_counts(targets))[0]['counts']
    return {
        'calls': len(results),
        'leaf_runs_per_call': counts.get(f'level-{DEPTH}', 0) / len(results),
    }
