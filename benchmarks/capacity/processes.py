"""Runs daemons and reads their processor time and memory."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession
from mustardspur_core.record import Record
from mustardspur_core.units import BYTES_PER_MIB

BINARY: Final = Path(sys.executable).parent / 'mustardspurd'
START_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.05
# Fields of /proc/PID/stat after the command name, in clock ticks, and of
# /proc/PID/statm, in pages.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12
_RESIDENT_PAGES_FIELD: Final = 1


class Usage(Record):
    """Processor time and resident memory of a process."""

    __slots__ = ('cpu_s', 'resident_mib')
    cpu_s: float
    resident_mib: float


def read_usage(process_id: int) -> Usage:
    """Return the processor time and the current memory of a process."""
    folder = Path(f'/proc/{process_id}')
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    pages = int(
        (folder / 'statm').read_text().split()[_RESIDENT_PAGES_FIELD],
    )
    resident = pages * os.sysconf('SC_PAGE_SIZE')
    return Usage(
        cpu_s=ticks / os.sysconf('SC_CLK_TCK'),
        resident_mib=resident / BYTES_PER_MIB,
    )


@asynccontextmanager
async def running_daemon(
    folder: Path,
    document: dict[str, Any],
) -> AsyncIterator[int]:
    """Run a daemon and yield its process identifier once it answers HTTP.

    Raises
    ------
    TimeoutError
        If it does not answer within START_TIMEOUT_S.
    """
    path = folder / 'settings.json'
    path.write_text(json.dumps(document), encoding='utf-8')
    process = await asyncio.create_subprocess_exec(
        str(BINARY),
        '--settings',
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await _wait_until_answering(document['listen']['http'])
        yield process.pid
    finally:
        process.terminate()
        await process.wait()


async def _wait_until_answering(address: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S), ClientSession() as session:
        while not await _answers(session, f'http://{address}/v1/status'):
            await asyncio.sleep(POLL_S)


async def _answers(session: ClientSession, url: str) -> bool:
    try:
        async with session.get(url):
            return True
    except (ClientError, TimeoutError):
        return False
