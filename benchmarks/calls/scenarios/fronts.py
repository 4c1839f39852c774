"""A front with targets, loaded with both users' calls."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any, Final

from benchmarks.calls.figures import Row, parse_rows
from benchmarks.calls.processes import (
    Role,
    run_load,
    run_role,
    run_targets,
    views_of,
)
from benchmarks.calls.traffic import CallKind, all_kinds

TARGETS: Final = 4
SLOTS: Final = 3
DEADLINE_MS: Final = 600
Front = tuple[Role, list[Role]]
FRONTS: Final = ('node', 'naive')


@asynccontextmanager
async def run_front(name: str) -> AsyncIterator[Front]:
    """Run a front and its targets."""
    async with run_targets(TARGETS, SLOTS) as targets:
        views = views_of(targets, SLOTS)
        async with run_role(name, targets=views) as front:
            yield front, targets


async def load_front(
    front: Role,
    rate: float,
    duration_s: float,
    kinds: Sequence[CallKind] | None = None,
    **settings: Any,
) -> list[Row]:
    """Return the rows of an open loop with the users' calls."""
    return parse_rows(
        await run_load(
            addresses={'front': front.address},
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
