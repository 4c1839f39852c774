"""Tests of a mesh of daemon processes, edited with the operators' client."""

import asyncio
import io
import json
from pathlib import Path
from typing import Any

from aiohttp import ClientSession
from mustardspur_client.main import run
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.record import replaced
from mustardspur_node.paths import ANNOUNCEMENTS_PATH, READY_PATH

from tests.core.mesh.builders import account, route, table
from tests.daemon.processes import POLL_S, answer_of, running_daemon
from tests.node.mesh.builders import target_report
from tests.node.stand_ins.scripted import run_scripted
from tests.support.ports import free_address

Documents = tuple[dict[str, Any], dict[str, Any]]


def mesh_documents(folder: Path, target_address: str) -> Documents:
    """Return the settings of a control instance and of a node."""
    # A process reaches the streams of control instances on the port of its
    # own stream.
    stream_port = free_address().rpartition(':')[2]
    location = {'data_centre': 'split-a', 'region': 'dalmacija'}
    control_http = free_address()
    control = {
        'role': 'control',
        'id': '127.0.0.1',
        'data_dir': str(folder / 'data'),
        'peers': [],
        'listen': {'stream': f'127.0.0.1:{stream_port}', 'http': control_http},
        'mesh': {'seeds': [control_http], 'first_start': True},
    }
    node = {
        'role': 'node',
        'id': 'n1',
        'service': 'forms',
        'listen': {
            'stream': f'127.0.0.2:{stream_port}',
            'http': free_address(),
            'ready': free_address(),
            'targets': free_address(),
            'metrics': free_address(),
        },
        'mesh': {'seeds': [control_http], 'target_address': target_address},
    }
    return control | location, node | location


async def _client(control: dict[str, Any], *arguments: str) -> str:
    output = io.StringIO()
    address = control['listen']['http']
    command = [*arguments, '--control', address, '--output', 'json']
    code = await run(command, output, io.StringIO())
    text = output.getvalue()
    return f'{code.value} {text}'


async def test_table_put_by_the_client_routes_calls(tmp_path: Path) -> None:
    """Guards against a mesh that works only with the platform adapter."""
    path = tmp_path / 'table.json'
    path.write_text(json.dumps(encode_mapping(table(3, route('drafts')))))
    async with run_scripted() as (target_address, _):
        control, node = mesh_documents(tmp_path, target_address)
        async with (
            running_daemon(tmp_path, control),
            running_daemon(tmp_path, node),
            ClientSession() as session,
        ):
            put = ('put-table', str(path), '--base', '0')
            assert (await _client(control, *put)).startswith('0 ')
            # A resend is accepted again; another table on the same base is
            # not.
            assert (await _client(control, *put)).startswith('0 ')
            path.write_text(json.dumps(encode_mapping(table(4, route('x')))))
            assert (await _client(control, *put)).startswith('4 ')
            assert '"drafts"' in await _client(control, 'table')
            await report_target(session, node, target_address)
            assert await _call(session, node) == b'good'
            text = await _metrics_with(session, node, 'target_slots 9')
    assert 'mustardspur_calls_answered_200 1' in text


async def test_rate_limit_of_an_account(tmp_path: Path) -> None:
    """Guards against a limit that works with stand-ins for streams only."""
    limited = account('cafe', 'key', rate_per_s=0.5, burst=1)
    # Calls without a key wait for the target and are not limited.
    opened = table(3, route('drafts', public=True))
    document = encode_mapping(replaced(opened, accounts={'cafe': limited}))
    async with run_scripted() as (target_address, _):
        control, node = mesh_documents(tmp_path, target_address)
        async with (
            running_daemon(tmp_path, control),
            running_daemon(tmp_path, node),
            ClientSession() as session,
        ):
            put = await put_table(tmp_path, control, document)
            assert put.startswith('0 ')
            await report_target(session, node, target_address)
            assert await _call(session, node) == b'good'
            statuses = await _statuses(session, node, 20)
            assert '"account/cafe"' in await _client(control, 'accounts')
            await _metrics_with(session, node, 'accounts_cafe_over_limit')
    # The burst and half of the slack, and a token that may have arrived.
    assert 11 <= statuses.count(200) <= 13
    assert statuses[-1] == 429


async def put_table(
    folder: Path,
    control: dict[str, Any],
    document: Any,
) -> str:
    """Publish the first table by the client; return exit code and output."""
    path = folder / 'table.json'
    path.write_text(json.dumps(document))
    return await _client(control, 'put-table', str(path), '--base', '0')


async def report_target(
    session: ClientSession,
    node: dict[str, Any],
    target_address: str,
) -> None:
    """Report a target to a node once the node listens."""
    await answer_of('http://{ready}{0}'.format(READY_PATH, **node['listen']))
    report = encode_mapping(target_report(address=target_address))
    url = 'http://{targets}{0}'.format(ANNOUNCEMENTS_PATH, **node['listen'])
    async with session.post(url, json=report) as response:
        assert response.status == 200
    async with session.post(url, json={**report, 'slots': 'x'}) as refusal:
        assert refusal.status == 422


async def _metrics_with(
    session: ClientSession,
    node: dict[str, Any],
    expected: str,
) -> str:
    """Return the metrics of a node once they contain a text."""
    url = 'http://{metrics}/metrics'.format(**node['listen'])
    while True:
        async with session.get(url) as response:
            text = await response.text()
        if expected in text:
            return text
        await asyncio.sleep(POLL_S)


async def _statuses(
    session: ClientSession,
    node: dict[str, Any],
    count: int,
) -> list[int]:
    """Return the statuses of calls that follow each other."""
    statuses: list[int] = []
    while len(statuses) < count:
        statuses.append(await _status(session, node))
    return statuses


async def _status(session: ClientSession, node: dict[str, Any]) -> int:
    url = 'http://{http}/drafts/1'.format(**node['listen'])
    headers = {'Host': 'forms.example', 'Authorization': 'Bearer key'}
    async with session.get(url, headers=headers) as response:
        if response.status == 429:
            assert float(response.headers['Retry-After']) > 0
        return response.status


async def _call(session: ClientSession, node: dict[str, Any]) -> bytes:
    url = 'http://{http}/drafts/1'.format(**node['listen'])
    while True:
        async with session.get(
            url,
            headers={'Host': 'forms.example', 'x-request-id': 'r1'},
        ) as response:
            body = await response.read()
            if response.status == 200:
                return body
            assert response.status == 503
