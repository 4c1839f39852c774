"""Starting daemon processes on free loopback ports for tests."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession

from tests.support.ports import free_address

# Upper bound for a hanging test; no result depends on the start-up time.
HANG_LIMIT_S: Final = 60.0
POLL_S: Final = 0.05
BINARY: Final = Path(sys.executable).parent / 'mustardspurd'


def control_document(folder: Path) -> dict[str, Any]:
    """Return settings of a control instance that is the only voter."""
    stream, http = free_address(), free_address()
    peer = {
        'id': 'c1',
        'stream': stream,
        'http': http,
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'voter': True,
    }
    return {
        'role': 'control',
        'id': 'c1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'data_dir': str(folder / 'c1'),
        'listen': {'stream': stream, 'http': http},
        'peers': [peer],
        'timeline': str(folder / 'c1.jsonl'),
    }


def node_document(folder: Path, control: str) -> dict[str, Any]:
    """Return settings of a node of the service ``forms``."""
    return {
        'role': 'node',
        'id': 'n1',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'listen': {'http': free_address()},
        'control': [control],
        'service': 'forms',
        'timeline': str(folder / 'n1.jsonl'),
    }


@asynccontextmanager
async def running_daemon(
    folder: Path,
    document: dict[str, Any],
    log: Path | None = None,
    command: Sequence[str] = (str(BINARY),),
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the daemon while the context is active.

    Its log goes to a file, or to a pipe if `log` is None.
    """
    with ExitStack() as stack:
        output: Any = asyncio.subprocess.PIPE
        if log is not None:
            output = stack.enter_context(log.open('wb'))
        async with _running(folder, document, output, command) as process:
            yield process


@asynccontextmanager
async def _running(
    folder: Path,
    document: dict[str, Any],
    output: Any,
    command: Sequence[str],
) -> AsyncIterator[asyncio.subprocess.Process]:
    name = document['id']
    path = folder / f'{name}.json'
    path.write_text(json.dumps(document), encoding='utf-8')
    process = await asyncio.create_subprocess_exec(
        *command,
        '--settings',
        str(path),
        stdout=output,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.terminate()
        await process.communicate()


async def answer_of(url: str) -> Any:
    """Return the JSON response of a URL once the process answers."""
    async with asyncio.timeout(HANG_LIMIT_S), ClientSession() as session:
        while True:
            try:
                return await _read(session, url)
            except (ClientError, TimeoutError):
                await asyncio.sleep(POLL_S)


async def _read(session: ClientSession, url: str) -> Any:
    async with session.get(url) as response:
        return await response.json()
