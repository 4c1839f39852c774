"""Damaged frames on the streams of real processes."""

import asyncio
from http import HTTPStatus
from itertools import chain, product, starmap
from pathlib import Path
from typing import Final

from aiohttp import ClientResponse
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from mustardspur_core.mesh.call_messages import NodeHello
from mustardspur_core.mesh.control_messages import ControlHello, MeshSubscribe
from mustardspur_core.record import Record
from mustardspur_core.settings import Peer
from mustardspur_core.wire import encode_frame

from tests.platform.mesh_processes import (
    HANG_LIMIT_S,
    HOST,
    POLL_S,
    Mesh,
    configuration,
    running_mesh,
    running_target,
)
from tests.support.damaged_frames import DEPTHS, damaged_frames, nested_frames
from tests.support.virtual_time import ticks

CONTROLS: Final = ('127.0.7.1', '127.0.7.2', '127.0.7.3')
NODE: Final = '127.0.7.21'
_CODES: Final = (132, 133, 141, 170, 185, 186)
# Frames of each type that each kind of stream gets.
_EXAMPLES: Final = 8
_FAILURES: Final = ('Traceback', 'task failed', 'stream failed')
# A frame of which only the length and a part arrive.
_CUT: Final = b'\x00\x00\xff\xffcut'
_OVERSIZED: Final = b'\xff\xff\xff\xff'


_drawn: Final[list[bytes]] = []


@settings(
    max_examples=_EXAMPLES * len(_CODES),
    derandomize=True,
    database=None,
    phases=[Phase.generate],
)
@given(frame=st.sampled_from(_CODES).flatmap(damaged_frames))
def _draw(frame: bytes) -> None:
    _drawn.append(frame)


def _frames() -> list[bytes]:
    """Return what is sent on each kind of stream, the same each time."""
    _drawn.clear()
    _draw()
    nested = chain.from_iterable(
        starmap(nested_frames, product(_CODES, DEPTHS)),
    )
    return [_OVERSIZED, _CUT, *map(_with_length, (*_drawn, *nested))]


def _with_length(encoded: bytes) -> bytes:
    return b'%b%b' % (len(encoded).to_bytes(4, 'big'), encoded)


def _hellos(port: int) -> dict[str, list[Record]]:
    """Return the first frames of streams, by the process that accepts them."""
    names = {'data_centre': 'split-a', 'region': 'dalmacija'}
    node = '127.0.7.99:9'
    # The sender is known, so that the members stay the same.
    sender = Peer(
        id=CONTROLS[1],
        stream=f'{CONTROLS[1]}:{port}',
        http='',
        voter=True,
        **names,
    )
    return {
        CONTROLS[0]: [
            MeshSubscribe(node=node, table_index=0, **names),
            ControlHello(sender=sender),
        ],
        NODE: [NodeHello(node=node, **names)],
    }


async def _send(mesh: Mesh, host: str, hello: Record, sent: bytes) -> None:
    """Send bytes on a stream of their own, and end it."""
    _, writer = await asyncio.open_connection(host, mesh.ports['stream'])
    writer.write(_with_length(encode_frame(hello)))
    writer.write(sent)
    writer.write_eof()
    await asyncio.sleep(POLL_S / 10)
    writer.close()


async def _call(mesh: Mesh) -> int:
    answer: ClientResponse
    async with mesh.session.get(
        mesh.url(NODE, 'http', '/drafts/1'),
        headers={'Host': HOST, 'Request-Id': 'r1', 'Deadline-Ms': '2000'},
    ) as answer:
        return answer.status


async def _until_served(mesh: Mesh) -> None:
    async with asyncio.timeout(HANG_LIMIT_S):
        while await _call(mesh) != HTTPStatus.OK:
            await asyncio.sleep(POLL_S)


async def _start(mesh: Mesh) -> None:
    """Start processes that serve a table with limits."""
    await asyncio.gather(
        *(mesh.start_control(each, first_start=True) for each in CONTROLS),
        mesh.start_node(NODE),
    )
    document = configuration(3)
    document['tenants'] = {
        'cafe': {'api_keys': ['k'], 'rate_per_s': 100, 'burst': 100},
    }
    document['routes']['drafts']['public'] = True
    await mesh.until(
        'PUT',
        mesh.url(CONTROLS[1], 'http', '/api/config'),
        json=document,
        headers={'If-Match': 'r0'},
    )
    await mesh.report(NODE)
    await _until_served(mesh)


async def _send_to_all(mesh: Mesh, sent: bytes) -> None:
    await asyncio.gather(
        *(
            _send(mesh, host, hello, sent)
            for host, hellos in _hellos(mesh.ports['stream']).items()
            for hello in hellos
        ),
    )


async def test_processes_survive_damaged_frames(tmp_path: Path) -> None:
    """Guards against a frame that ends a process or a task of it, or after
    which calls of others are no longer served.
    """
    frames = _frames()
    served: list[int] = []
    async with running_mesh(tmp_path) as mesh, running_target(mesh, NODE):
        await _start(mesh)
        async for number in ticks(len(frames), 0):
            await _send_to_all(mesh, frames[number])
            served.append(await _call(mesh))
        ended = [each.returncode for each in mesh.processes.values()]
    assert set(served) == {HTTPStatus.OK}
    assert set(ended) == {None}
    for host in (*CONTROLS, NODE):
        log = (tmp_path / f'{host}.log').read_text('utf-8')
        assert not any(each in log for each in _FAILURES)
    log = (tmp_path / f'{CONTROLS[0]}.log').read_text('utf-8')
    assert 'malformed frame' in log
