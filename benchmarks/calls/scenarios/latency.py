"""Added latency at the design rate, and saturation of one node."""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from benchmarks.calls.figures import (
    CallResult,
    Figures,
    parse_results,
    percentile,
)
from benchmarks.calls.processes import (
    RoleProcess,
    run_load,
    run_role,
    run_targets,
    target_settings,
)
from benchmarks.calls.scenarios.each import measure_each

# Design size: 230,000 calls per second over 2,800 nodes.
NODE_RATE: Final = 82
DURATION_S: Final = 10
SATURATION_S: Final = 3
SLOTS: Final = 64
EMPTY: Final = (('GET', '/empty', 1),)
DIRECT: Final = 'direct'


async def measure_latency() -> Figures:
    """Return the latency of each variant and the excess over direct calls."""
    async with AsyncExitStack() as stack:
        addresses_by_variant, proxies = await _start(stack)
        results = parse_results(
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
        figures = _latency_figures(results)
        saturated = await measure_each(
            ('node', 'naive'),
            lambda variant: _saturate(proxies[variant]),
        )
        for saturated_variant, result in saturated.items():
            figures[saturated_variant] |= result
        return figures


def _latency_figures(results: list[CallResult]) -> dict[str, Figures]:
    results_by_variant: dict[str, list[CallResult]] = {}
    for result in results:
        results_by_variant.setdefault(result.variant, []).append(result)
    figures: dict[str, Figures] = {
        variant: {
            'p50_ms': percentile(variant_results, 0.5),
            'p99_ms': percentile(variant_results, 0.99),
        }
        for variant, variant_results in results_by_variant.items()
    }
    direct = figures[DIRECT]
    for variant in results_by_variant.keys() - {DIRECT}:
        _add_excess(figures[variant], direct)
    return figures


def _add_excess(proxied: Figures, direct: Figures) -> None:
    for name in ('p50_ms', 'p99_ms'):
        proxied[f'added_{name}'] = proxied[name] - direct[name]


async def _start(
    stack: AsyncExitStack,
) -> tuple[dict[str, str], dict[str, RoleProcess]]:
    targets = await stack.enter_async_context(run_targets(4, SLOTS))
    settings = target_settings(targets, SLOTS)
    node = await stack.enter_async_context(run_role('node', targets=settings))
    naive = await stack.enter_async_context(run_role('naive', targets=settings))
    first = await stack.enter_async_context(
        run_role('node', targets=target_settings([node], SLOTS)),
    )
    proxies = {'node': node, 'naive': naive, 'two_hops': first}
    addresses = {name: proxy.address for name, proxy in proxies.items()}
    return {DIRECT: targets[0].address, **addresses}, proxies


async def _saturate(proxy: RoleProcess) -> Figures:
    cpu_s = proxy.cpu_s
    loads = await asyncio.gather(
        *(
            run_load(
                addresses={'proxy': proxy.address},
                calls=EMPTY,
                workers=16,
                duration_s=SATURATION_S,
                deadline_ms=1000,
                seed=seed,
            )
            for seed in range(2)
        ),
    )
    results = parse_results([result for load in loads for result in load])
    calls = sum(result.succeeded for result in results)
    return {
        'calls_per_s': calls / SATURATION_S,
        'calls_per_s_per_core': calls / (proxy.cpu_s - cpu_s),
        'saturated_p99_ms': percentile(results, 0.99),
    }
