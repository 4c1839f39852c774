"""Tests of targets that fall silent, and of ones that only seem to."""

import asyncio
from typing import Any, Final

import pytest
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.confirmation import is_healthy
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.target_connection import DEFAULT_IDLE_TIMEOUT_S

from tests.node.mesh.builders import call_open, local_target
from tests.node.stand_ins.mesh import run_raw_target
from tests.node.stand_ins.scripted import GOOD
from tests.support.virtual_time import VirtualLoop, in_virtual_time

_AFTER_S: Final = 4.0
_HANG_PATH: Final = '/hang'
_HEALTH_PATH: Final = '/healthz'
_RESET: Final = b''
_FULL: Final = b'HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n'
_PART: Final = b'HTTP/1.1 200 OK\r\n'


class _HangingTarget:
    """Answers each path after some time with some bytes.

    Parameters
    ----------
    reactions : dict
        Seconds until the reaction and its bytes by path; none for a reset of
        the connection. Other paths get `GOOD` at once until `_HANG_PATH`
        comes, and nothing from then on.
    """

    def __init__(self, reactions: dict[str, tuple[float, bytes]]) -> None:
        self._reactions = reactions
        self._is_hanging = False
        self.probes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while request := await _read(reader):
            path, request_id = request
            self.probes += path == _HEALTH_PATH
            self._is_hanging |= path == _HANG_PATH
            if self._is_hanging and path not in self._reactions:
                continue
            after_s, answer = self._reactions.get(path, (0, GOOD))
            await asyncio.sleep(after_s)
            if not answer:
                writer.transport.abort()
            writer.write(answer.replace(b'{id}', request_id))


async def _read(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """Return path and identifier of the next request, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    after = head.partition(b'x-request-id: ')[2]
    return head.split()[1].decode(), after.partition(b'\r\n')[0]


def _observed(address: str) -> LocalTarget:
    local = local_target(address)
    local.runs.silence.after_s = _AFTER_S
    local.runs.silence.health_path = lambda: _HEALTH_PATH
    return local


async def _call(local: LocalTarget, path: str, **changes: Any) -> object:
    """Return the fault or the answer of a call."""
    call = call_open(path=path, **changes)
    try:
        return await local.run(call, _ignore)
    except PlacementFault as fault:
        return fault


async def _ignore(_: object) -> None:
    """Do nothing when the call may run."""


@in_virtual_time
async def test_silent_target_has_crashed_once() -> None:
    """Guards against a target that falls silent unseen, against suspects that
    came after that or were answered before, and against counting its end as
    another crash.
    """
    target = _HangingTarget({})
    async with run_raw_target(target.serve) as address:
        local = _observed(address)
        crashes = local.runs.crashes
        await _call(local, '/drafts/1')
        await asyncio.gather(
            _call(local, _HANG_PATH), _call(local, '/drafts/2')
        )
        assert not crashes.crashes
        later = asyncio.gather(
            _call(local, '/drafts/1'), _call(local, '/drafts/3')
        )
        await asyncio.sleep(_AFTER_S + 1)
        await later
        assert target.probes == 2
        await _call(local, '/drafts/4')
    crashes.record_broken(call_open(path='/drafts/4'), local.pool)
    await asyncio.sleep(_AFTER_S + 1)
    assert [set(each.fingerprints) for each in crashes.crashes] == [
        {
            crashes.fingerprint(call_open(path=path))
            for path in (_HANG_PATH, '/drafts/2')
        },
    ]


@in_virtual_time
async def test_silence_at_the_first_call_is_a_crash() -> None:
    """Guards against a target that its first call silences unseen, as it has
    answered health checks only, on a connection that has been closed since.
    """
    target = _HangingTarget({})
    async with run_raw_target(target.serve) as address:
        local = _observed(address)
        assert await is_healthy(local, _HEALTH_PATH)
        await asyncio.sleep(DEFAULT_IDLE_TIMEOUT_S)
        await _call(local, _HANG_PATH)
        await asyncio.sleep(_AFTER_S + 1)
    assert len(local.runs.crashes.crashes) == 1


@pytest.mark.parametrize(
    'reactions',
    [
        # A slow target reacts to health checks late.
        {_HEALTH_PATH: (0.9 * _AFTER_S, GOOD)},
        # An overloaded one refuses new connections or requests.
        {_HEALTH_PATH: (0, _RESET)},
        {_HEALTH_PATH: (0, _FULL)},
        # One that accepts nothing goes on with an answer.
        {'/part': (2.5, _PART)},
        # One that runs calls one after the other has had runs as long.
        {'/long': (3, GOOD), _HEALTH_PATH: (1.4 * _AFTER_S, GOOD)},
    ],
)
@in_virtual_time
async def test_slow_or_overloaded_target_is_not_silent(
    reactions: dict[str, tuple[float, bytes]],
) -> None:
    """Guards against blocking calls that were at slow or overloaded targets
    when all calls there timed out.
    """
    target = _HangingTarget(reactions)
    async with run_raw_target(target.serve) as address:
        local = _observed(address)
        await _call(local, '/long', deadline_ms=5000.0)
        calls = asyncio.gather(
            _call(local, _HANG_PATH),
            _call(local, '/part', deadline_ms=9000.0),
        )
        await asyncio.sleep(2 * _AFTER_S)
        assert target.probes
        assert not local.runs.crashes.crashes
        await calls


@in_virtual_time
async def test_time_without_the_node_does_not_count() -> None:
    """Guards against counting answers as missing that the node, which did not
    run, has not read.
    """
    target = _HangingTarget({_HEALTH_PATH: (1, GOOD)})
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    async with run_raw_target(target.serve) as address:
        local = _observed(address)
        await _call(local, '/drafts/1')
        await _call(local, _HANG_PATH)
        await asyncio.sleep(0.5)
        loop.stall(2 * _AFTER_S)
        await asyncio.sleep(_AFTER_S)
        assert target.probes
        assert not local.runs.crashes.crashes
