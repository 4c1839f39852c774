"""Uploads at a steady rate, and small calls beside them."""

import asyncio
import os
import signal
import time
from contextlib import closing, suppress
from pathlib import Path
from typing import Final

from mustardspur_core.record import Record
from mustardspur_core.units import BYTES_PER_KIB, MS_PER_S

BODY_BYTES: Final = 30_000_000
PART_BYTES: Final = 100_000
DEADLINE_MS: Final = 6000
# The platform kills a process that uses more.
MEMORY_MIB: Final = 300
CHECK_INTERVAL_S: Final = 0.01
# Small calls started each second beside the uploads.
SMALL_CALLS_PER_S: Final = 100
_OK: Final = 200
_TIMEOUT_S: Final = 20.0


class BurstFigures(Record):
    """What a burst of uploads did to a node.

    Parameters
    ----------
    peak_mib : float
        Largest resident memory of the process.
    killed : bool
        Whether the process was killed, since it used more than
        `MEMORY_MIB`.
    """

    __slots__ = (
        'peak_mib',
        'killed',
        'finished',
        'refused',
        'cut',
        'small_p50_ms',
        'small_p99_ms',
        'small_failed',
    )
    peak_mib: float
    killed: bool
    finished: int
    refused: int
    cut: int
    small_p50_ms: float
    small_p99_ms: float
    small_failed: int


async def play_burst(
    address: tuple[str, int],
    pid: int,
    uploads: int,
    send_s: float,
) -> BurstFigures:
    """Send uploads to a node at once, and small calls until they end."""
    latencies_ms: list[float] = []
    peaks_mib: list[float] = [0]
    watching = asyncio.create_task(_watch_memory(pid, peaks_mib))
    asking = asyncio.create_task(_keep_asking(address, latencies_ms))
    statuses = await asyncio.gather(
        *(_upload(address, number, send_s) for number in range(uploads)),
    )
    asking.cancel()
    watching.cancel()
    await asyncio.gather(asking, watching, return_exceptions=True)
    answered = sorted(each for each in latencies_ms if each >= 0)
    return BurstFigures(
        peak_mib=max(peaks_mib),
        killed=max(peaks_mib) > MEMORY_MIB,
        finished=statuses.count(_OK),
        refused=sum(status not in {0, _OK} for status in statuses),
        cut=statuses.count(0),
        small_p50_ms=_quantile(answered, 0.5),
        small_p99_ms=_quantile(answered, 0.99),
        small_failed=len(latencies_ms) - len(answered),
    )


async def _upload(
    address: tuple[str, int],
    number: int,
    send_s: float,
) -> int:
    """Return the status, 0 if the connection ended without an answer."""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await _upload_once(address, number, send_s)
    except (OSError, EOFError, TimeoutError):
        return 0


async def _upload_once(
    address: tuple[str, int],
    number: int,
    send_s: float,
) -> int:
    reader, writer = await asyncio.open_connection(*address)
    request = (
        f'POST /uploads/u{number} HTTP/1.1\r\nhost: forms.example\r\n'
        f'x-request-id: u{number}\r\n'
        f'x-mustardspur-deadline-ms: {DEADLINE_MS}\r\n'
        f'content-length: {BODY_BYTES}\r\n\r\n'
    )
    writer.write(request.encode())
    with closing(writer):
        sending = asyncio.create_task(_send_body(writer, send_s))
        head = await reader.readuntil(b'\r\n\r\n')
        sending.cancel()
    return int(head.split()[1])


async def _send_body(writer: asyncio.StreamWriter, send_s: float) -> None:
    sent = 0
    started_s = time.perf_counter()
    with suppress(OSError):
        while sent < BODY_BYTES:
            writer.write(bytes(PART_BYTES))
            sent += PART_BYTES
            await writer.drain()
            due_s = started_s + send_s * sent / BODY_BYTES
            await asyncio.sleep(max(due_s - time.perf_counter(), 0))


async def _keep_asking(
    address: tuple[str, int],
    latencies_ms: list[float],
) -> None:
    """Add the latency of each small call, a negative one if it failed."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_ask(address, latencies_ms))
            await asyncio.sleep(1 / SMALL_CALLS_PER_S)


async def _ask(address: tuple[str, int], latencies_ms: list[float]) -> None:
    started_s = time.perf_counter()
    status = 0
    with suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(_TIMEOUT_S):
            status = await _ask_once(address)
    taken_ms = (time.perf_counter() - started_s) * MS_PER_S
    latencies_ms.append(taken_ms if status == _OK else -1)


async def _ask_once(address: tuple[str, int]) -> int:
    reader, writer = await asyncio.open_connection(*address)
    with closing(writer):
        writer.write(
            b'GET /drafts/1 HTTP/1.1\r\nhost: forms.example\r\n'
            b'x-request-id: small\r\n\r\n',
        )
        head = await reader.readuntil(b'\r\n\r\n')
        return int(head.split()[1])


async def _watch_memory(pid: int, peaks_mib: list[float]) -> None:
    """Add the memory of a process; kill it over `MEMORY_MIB`."""
    while True:
        with suppress(OSError):
            peaks_mib.append(_peak_mib(pid))
            if peaks_mib[-1] > MEMORY_MIB:
                os.kill(pid, signal.SIGKILL)
                return
        await asyncio.sleep(CHECK_INTERVAL_S)


def _peak_mib(pid: int) -> float:
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    return int(status.partition('VmHWM:')[2].split()[0]) / BYTES_PER_KIB


def _quantile(latencies_ms: list[float], part: float) -> float:
    if not latencies_ms:
        return float('nan')
    return latencies_ms[int(len(latencies_ms) * part)]
