"""Added latency at the usual rate, and saturation of one node."""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from benchmarks.calls.figures import Figures, Row, parse_rows, percentile
from benchmarks.calls.processes import (
    Role,
    run_load,
    run_role,
    run_targets,
    views_of,
)
from benchmarks.calls.scenarios.each import measure_each

# 230,000 calls a second over 2,800 nodes.
NODE_RATE: Final = 82
DURATION_S: Final = 10
SATURATION_S: Final = 3
SLOTS: Final = 64
EMPTY: Final = (('GET', '/empty', 1),)
DIRECT: Final = 'direct'


async def measure_latency() -> Figures:
    """Return the latency of each variant, and what it adds to direct calls."""
    async with AsyncExitStack() as stack:
        addresses_by_variant, fronts = await _start(stack)
        rows = parse_rows(
            await run_load(
                addresses=addresses_by_variant,
                calls=EMPTY,
                rate=NODE_RATE / 1.3,
                gap_s=0.002,
                duration_s=DURATION_S,
                deadline_ms=1000,
                seed=1,
            ),
        )
        figures = _latencies(rows)
        saturated = await measure_each(
            ('node', 'naive'),
            lambda variant: _saturate(fronts[variant]),
        )
        for saturated_variant, row in saturated.items():
            figures[saturated_variant] |= row
        return figures


def _latencies(rows: list[Row]) -> dict[str, Figures]:
    rows_by_variant: dict[str, list[Row]] = {}
    for row in rows:
        rows_by_variant.setdefault(row.variant, []).append(row)
    figures: dict[str, Figures] = {
        variant: {
            'p50_ms': percentile(part, 0.5),
            'p99_ms': percentile(part, 0.99),
        }
        for variant, part in rows_by_variant.items()
    }
    direct = figures[DIRECT]
    for variant in rows_by_variant.keys() - {DIRECT}:
        _subtract(figures[variant], direct)
    return figures


def _subtract(proxied: Figures, direct: Figures) -> None:
    for name in ('p50_ms', 'p99_ms'):
        proxied[f'added_{name}'] = proxied[name] - direct[name]


async def _start(
    stack: AsyncExitStack,
) -> tuple[dict[str, str], dict[str, Role]]:
    targets = await stack.enter_async_context(run_targets(4, SLOTS))
    views = views_of(targets, SLOTS)
    node = await stack.enter_async_context(run_role('node', targets=views))
    naive = await stack.enter_async_context(run_role('naive', targets=views))
    first = await stack.enter_async_context(
        run_role('node', targets=views_of([node], SLOTS)),
    )
    fronts = {'node': node, 'naive': naive, 'two_hops': first}
    addresses = {name: front.address for name, front in fronts.items()}
    return {DIRECT: targets[0].address, **addresses}, fronts


async def _saturate(front: Role) -> Figures:
    cpu_s = front.cpu_s
    loads = await asyncio.gather(
        *(
            run_load(
                addresses={'front': front.address},
                calls=EMPTY,
                workers=16,
                duration_s=SATURATION_S,
                deadline_ms=1000,
                seed=seed,
            )
            for seed in range(2)
        ),
    )
    rows = parse_rows([row for load in loads for row in load])
    calls = sum(row.good for row in rows)
    return {
        'calls_per_s': calls / SATURATION_S,
        'calls_per_s_per_core': calls / (front.cpu_s - cpu_s),
        'saturated_p99_ms': percentile(rows, 0.99),
    }
