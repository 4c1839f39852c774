"""Runs of a failing leaf at the end of a chain of calls."""

from typing import Final

from benchmarks.calls.figures import Figures
from benchmarks.calls.processes import (
    counts_of,
    order,
    run_load,
    run_role,
    run_targets,
    views_of,
)

DEPTH: Final = 9
# With more, the plain proxy would need minutes for a single call.
ATTEMPTS: Final = 2
_CHAIN: Final = (('GET', '/chain', 1),)


async def measure_amplification(
    front_name: str,
    rate: float,
    duration_s: float,
) -> Figures:
    """Return the leaf's runs for each call of the first level."""
    async with run_targets(1, 1000, depth=DEPTH) as targets:
        async with run_role(
            front_name,
            targets=views_of(targets, 1000),
            attempts=ATTEMPTS,
            services=[f'level-{level}' for level in range(1, DEPTH + 1)],
        ) as front:
            await order(targets[0].control, '/behave', {'next': front.address})
            rows = await run_load(
                addresses={'front': front.address},
                calls=_CHAIN,
                rate=rate,
                duration_s=duration_s,
                deadline_ms=20000,
                seed=5,
                headers={'x-level': '1', 'x-mustardspur-service': 'level-1'},
            )
            counts = (await counts_of(targets))[0]['counts']
    return {
        'calls': len(rows),
        'leaf_runs_per_call': counts.get(f'level-{DEPTH}', 0) / len(rows),
    }
