"""Starts the processes of the benchmark and sends commands to them."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

OUTPUT_LIMIT_BYTES = 1 << 28
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_USER_TICKS_FIELD = 11


class RoleProcess:
    """A running process with the addresses that it announced.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The process.
    fields : dict
        Announced ``address`` and, for targets, ``control``.
    """

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        fields: dict[str, Any],
    ) -> None:
        """Initialise with the announced addresses."""
        self._process = process
        self.address: str = fields['address']
        self.control: str = fields.get('control', '')

    @property
    def cpu_s(self) -> float:
        """Processor time that the process has used, in seconds."""
        process_id = self._process.pid
        stat = Path(f'/proc/{process_id}/stat').read_text('utf-8')
        fields = stat.rpartition(') ')[2].split()
        user, system = fields[_USER_TICKS_FIELD : _USER_TICKS_FIELD + 2]
        return (int(user) + int(system)) / _TICKS_PER_S


@asynccontextmanager
async def run_role(name: str, **settings: Any) -> AsyncIterator[RoleProcess]:
    """Run a role and kill its process at the end of the block."""
    process = await _start(name, settings)
    assert process.stdout is not None
    line = await process.stdout.readline()
    try:
        yield RoleProcess(process, json.loads(line))
    finally:
        process.kill()
        await process.wait()


@asynccontextmanager
async def run_targets(
    count: int,
    slots: int,
    **settings: Any,
) -> AsyncIterator[list[RoleProcess]]:
    """Run several targets until the end of the block."""
    async with AsyncExitStack() as stack:
        yield await asyncio.gather(
            *(
                stack.enter_async_context(
                    run_role('target', slots=slots, **settings),
                )
                for _ in range(count)
            ),
        )


def target_settings(
    targets: list[RoleProcess], slots: int
) -> list[dict[str, Any]]:
    """Return the settings of the targets for a proxy."""
    return [{'address': one.address, 'slots': slots} for one in targets]


async def run_load(**settings: Any) -> list[list[Any]]:
    """Run a load generator to its end and return its results as lists."""
    process = await _start('load', settings)
    output, _ = await process.communicate()
    results: list[list[Any]] = json.loads(output)
    return results


async def send_command(address: str, path: str, body: object) -> None:
    """Post a command to a process.

    Raises
    ------
    ClientResponseError
        If the process refuses it.
    """
    async with ClientSession() as client:
        url = f'http://{address}{path}'
        async with client.post(url, json=body) as answer:
            answer.raise_for_status()


async def read_counts(targets: list[RoleProcess]) -> list[dict[str, Any]]:
    """Return the counters of the targets."""
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
        limit=OUTPUT_LIMIT_BYTES,
    )
