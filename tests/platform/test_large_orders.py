"""Tests of crowds of operators at the processes of control instances."""

import asyncio
import json
from contextlib import AsyncExitStack, suppress
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import pytest
from aiohttp import ClientError
from mustardspur_core.units import BYTES_PER_KIB

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    Mesh,
    configuration,
    running_mesh,
)

_CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
# Memory of the machines of control instances.
_MEMORY_MB: Final = 296
# Eight orders at once.
_ORDERED: Final = (*_CONTROLS, *_CONTROLS, *_CONTROLS[:2])
# Just below the default limit, and of the size of the former one.
_LARGEST_BYTES: Final = 8_300_000
_LARGE_ORDER_BYTES: Final = 15_500_000
_ACCEPTED_ORDER_BYTES: Final = 4_000_000
_SERIES: Final = (2, 3, 4, 5)
_READ_ORDER_BYTES: Final = 1_500_000
_READERS: Final = 200
_PATH: Final = '/api/config'
_FINAL: Final = (HTTPStatus.OK, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
_READ: Final = f'GET {_PATH} HTTP/1.1\r\nhost: any\r\n\r\n'.encode()


def _document(number: int, size: int) -> bytes:
    """Return a configuration of about a size in bytes."""
    document = configuration(number)
    route = document['routes']['drafts']
    count = size // len(json.dumps({'route-000000': route}))
    for place in range(count):
        name = str(place).zfill(6)
        document['routes'][f'route-{name}'] = {
            **route,
            'path_prefix': f'/{name}/',
        }
    return json.dumps(document).encode()


async def _start(mesh: Mesh) -> None:
    await asyncio.gather(
        *(
            mesh.start_control(host, first_start=True, memory_mb=_MEMORY_MB)
            for host in _CONTROLS
        ),
    )
    await _publish(mesh, 1, json.dumps(configuration(1)).encode())


async def _publish(mesh: Mesh, number: int, document: bytes) -> None:
    base = number - 1
    await mesh.until(
        'PUT',
        mesh.url(_CONTROLS[0], 'http', _PATH),
        data=document,
        headers={'If-Match': f'r{base}'},
    )


async def _order(mesh: Mesh, host: str, document: bytes) -> None:
    """Send an order three times, whatever the answer."""
    left = 3
    while left:
        left -= 1
        with suppress(ClientError):
            await mesh.session.put(
                mesh.url(host, 'http', _PATH),
                data=document,
                headers={'If-Match': 'r1'},
            )


async def _offer(mesh: Mesh, number: int, size: int) -> None:
    """Send an order until it is accepted, or refused for its size."""
    document = _document(number, size)
    status = 0
    while status not in _FINAL:
        async with mesh.session.put(
            mesh.url(_CONTROLS[0], 'http', _PATH),
            data=document,
            headers={'If-Match': f'r{number - 1}'},  # noqa: WPS237
        ) as answer:
            status = answer.status


def _peaks_mib(mesh: Mesh) -> list[float]:
    peaks: list[float] = []
    for process in mesh.processes.values():
        # A process that has ended has no such line.
        status = Path(f'/proc/{process.pid}/status').read_text()
        peaks.append(int(status.partition('VmHWM:')[2].split()[0]))
    return [peak / BYTES_PER_KIB for peak in peaks]


async def _edit_once_more(mesh: Mesh) -> None:
    """Read the configuration and publish a small one on top of it."""
    body = await mesh.until('GET', mesh.url(_CONTROLS[0], 'http', _PATH))
    current: dict[str, Any] = json.loads(body)
    number = int(current['version'].removeprefix('r')) + 1
    await _publish(mesh, number, json.dumps(configuration(number)).encode())


@pytest.mark.parametrize('size', [_LARGEST_BYTES, _LARGE_ORDER_BYTES])
async def test_orders_at_the_size_limit_fit_the_memory(
    size: int,
    tmp_path: Path,
) -> None:
    """Guards against control instances that are killed for their memory as
    eight orders of legal size are in progress at once.
    """
    document = _document(2, size)
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh)
        async with asyncio.timeout(HANG_LIMIT_S):
            await asyncio.gather(
                *(_order(mesh, host, document) for host in _ORDERED),
            )
        await _edit_once_more(mesh)
        assert max(_peaks_mib(mesh)) < _MEMORY_MB


async def test_large_configuration_is_accepted(tmp_path: Path) -> None:
    """Guards against configurations that are never accepted, as the leader is
    replaced while it decodes one.
    """
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh)
        await _publish(mesh, 2, _document(2, _ACCEPTED_ORDER_BYTES))


@pytest.mark.parametrize('size', [_LARGEST_BYTES, _LARGE_ORDER_BYTES])
async def test_series_of_large_configurations_fits(
    size: int,
    tmp_path: Path,
) -> None:
    """Guards against control instances that are killed for their memory as
    they decode a large configuration beside those in force.
    """
    async with running_mesh(tmp_path) as mesh:
        await _start(mesh)
        async with asyncio.timeout(HANG_LIMIT_S):
            for number in _SERIES:
                await _offer(mesh, number, size)  # noqa: WPS476
        assert max(_peaks_mib(mesh)) < _MEMORY_MB


async def test_slow_readers_fit_the_memory(
    tmp_path: Path,
) -> None:
    """Guards against a control instance that is killed for its memory as many
    operators read a large configuration slowly.
    """
    async with running_mesh(tmp_path) as mesh, AsyncExitStack() as stack:
        await _start(mesh)
        await _publish(mesh, 2, _document(2, _READ_ORDER_BYTES))
        port = mesh.ports['http']
        connections = await asyncio.gather(
            *(
                # Reads almost nothing of its answer.
                asyncio.open_connection(_CONTROLS[0], port, limit=1)
                for _ in range(_READERS)
            ),
        )
        for _, writer in connections:
            stack.callback(writer.close)
            writer.write(_READ)
        # Time for all answers to start.
        await asyncio.sleep(2)
        peaks_mib = _peaks_mib(mesh)
    assert max(peaks_mib) < _MEMORY_MB
