"""Tests that ``explain`` finds the cause of failed calls in real logs."""

import asyncio
import io
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from typing import Any, Final

import pytest
from aiohttp import ClientSession
from mustardspur_client.main import run
from mustardspur_core.conversion import encode_mapping

from tests.core.mesh.builders import route, table
from tests.daemon.processes import POLL_S, running_daemon
from tests.daemon.test_mesh import mesh_documents, put_table, report_target
from tests.node.stand_ins.scripted import (
    CLOSE,
    GOOD,
    KEEP,
    REFUSAL,
    RESET,
    Step,
    run_scripted,
)

_FAILURE: Final = (
    b'HTTP/1.1 500 Internal Server Error\r\nx-request-id: {id}\r\n'
    b'content-length: 0\r\n\r\n'
)
_NOT_READY_REASONS: Final = (
    'no target is known',
    'no routing table is known',
    'target takes no calls',
)
Answer = tuple[int, str]


async def _explained(logs: list[Path], request: str) -> str:
    output = io.StringIO()
    arguments = [
        'explain',
        request,
        '--output',
        'json',
        '--logs',
        *map(str, logs),
    ]
    await run(arguments, output, io.StringIO())
    cause: str = json.loads(output.getvalue())['cause']
    return cause


async def _call(node: dict[str, Any], path: str, request: str) -> Answer:
    url = 'http://{http}{0}'.format(path, **node['listen'])
    headers = {'Host': 'forms.example', 'x-request-id': request}
    async with (
        ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        return response.status, await response.text()


async def _call_once_ready(node: dict[str, Any], path: str) -> Answer:
    """Return the status and request id of the first call that the node
    handles with a table and a target.
    """
    numbers = count()
    while True:
        request = f'failed-{next(numbers)}'
        status, text = await _call(node, path, request)
        if not any(reason in text for reason in _NOT_READY_REASONS):
            return status, request
        await asyncio.sleep(POLL_S)


@asynccontextmanager
async def _mesh(folder: Path, step: Step) -> AsyncIterator[dict[str, Any]]:
    """Run a node with a scripted target; yield the node's settings."""
    drafts = route('drafts', timeout_ms=400.0, max_attempts=1)
    async with run_scripted(step) as (address, _):
        control, node = mesh_documents(folder, address)
        async with (
            running_daemon(folder, control, folder / 'control.log'),
            running_daemon(folder, node, folder / 'node.log'),
            ClientSession() as session,
        ):
            await put_table(folder, control, encode_mapping(table(3, drafts)))
            await report_target(session, node, address)
            yield node


@pytest.mark.parametrize(
    ('name', 'step', 'path', 'status', 'expected'),
    [
        ('reset', (GOOD[:-2], RESET), '/drafts/1', 502, 'may have run'),
        ('closed', (b'', CLOSE), '/drafts/1', 502, 'may have run'),
        ('silent', (b'', KEEP), '/drafts/1', 504, 'may have run'),
        ('refused', (REFUSAL, KEEP), '/drafts/1', 503, 'refused the call'),
        ('failed', (_FAILURE, KEEP), '/drafts/1', 500, 'answered 500'),
        ('no route', (GOOD, KEEP), '/gone/1', 404, 'has no route'),
    ],
)
async def test_logs_name_the_cause(
    tmp_path: Path,
    name: str,
    step: Step,
    path: str,
    status: int,
    expected: str,
) -> None:
    """Guards against a failed call whose cause is not in the logs."""
    async with _mesh(tmp_path, step) as node:
        found, request = await _call_once_ready(node, path)
        assert found == status, name
    logs = [tmp_path / 'control.log', tmp_path / 'node.log']
    cause = await _explained(logs, request)
    assert expected in cause, cause
