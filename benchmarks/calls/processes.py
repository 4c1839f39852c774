"""Processes of the benchmark and the orders to them."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

ROW_BYTES = 1 << 28
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_USER_TICKS_FIELD = 11


class Role:
    """A running process with the addresses that it announced."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        fields: dict[str, Any],
    ) -> None:
        """Keep what it announced."""
        self._process = process
        self.address: str = fields['address']
        self.control: str = fields.get('control', '')

    @property
    def cpu_s(self) -> float:
        """Processor time that the process used so far."""
        process_id = self._process.pid
        stat = Path(f'/proc/{process_id}/stat').read_text('utf-8')
        fields = stat.rpartition(') ')[2].split()
        user, system = fields[_USER_TICKS_FIELD : _USER_TICKS_FIELD + 2]
        return (int(user) + int(system)) / _TICKS_PER_S


@asynccontextmanager
async def run_role(name: str, **settings: Any) -> AsyncIterator[Role]:
    """Run a role until the end of the block."""
    process = await _start(name, settings)
    assert process.stdout is not None
    line = await process.stdout.readline()
    try:
        yield Role(process, json.loads(line))
    finally:
        process.kill()
        await process.wait()


@asynccontextmanager
async def run_targets(
    count: int,
    slots: int,
    **settings: Any,
) -> AsyncIterator[list[Role]]:
    """Run several targets."""
    async with AsyncExitStack() as stack:
        yield await asyncio.gather(
            *(
                stack.enter_async_context(
                    run_role('target', slots=slots, **settings),
                )
                for _ in range(count)
            ),
        )


def views_of(targets: list[Role], slots: int) -> list[dict[str, Any]]:
    """Return the targets as a node's view lists them."""
    return [{'address': one.address, 'slots': slots} for one in targets]


async def run_load(**settings: Any) -> list[list[Any]]:
    """Run a load generator to its end and return its rows."""
    process = await _start('load', settings)
    output, _ = await process.communicate()
    rows: list[list[Any]] = json.loads(output)
    return rows


async def order(address: str, path: str, body: object) -> None:
    """Post an order to a process."""
    async with ClientSession() as client:
        url = f'http://{address}{path}'
        async with client.post(url, json=body) as answer:
            answer.raise_for_status()


async def counts_of(targets: list[Role]) -> list[dict[str, Any]]:
    """Return what the targets counted."""
    return await asyncio.gather(*(_counts(one.control) for one in targets))


async def _counts(address: str) -> dict[str, Any]:
    async with ClientSession() as client:
        async with client.get(f'http://{address}/counts') as answer:
            counts: dict[str, Any] = await answer.json()
            return counts


async def _start(
    name: str,
    settings: dict[str, Any],
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'benchmarks.calls.roles',
        name,
        json.dumps(settings),
        stdout=asyncio.subprocess.PIPE,
        limit=ROW_BYTES,
    )
