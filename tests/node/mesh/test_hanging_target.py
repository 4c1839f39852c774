"""Tests of a target that never answers a request that it cannot queue."""

import asyncio
from typing import Any, Final

import pytest
from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.local_target import LocalTarget

from tests.node.mesh.builders import call_open, local_target
from tests.node.stand_ins.mesh import run_raw_target
from tests.node.stand_ins.scripted import GOOD

_SLOTS: Final = 2
_RUN_S: Final = 0.02


class _HangingTarget:
    """Runs as many requests as it has slots, and hangs beyond them.

    A connection on which it hangs is never answered again.
    """

    def __init__(self) -> None:
        self.running = 0
        self.hung = 0
        self.hangs_next = False

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while request_id := await _read_id(reader):
            if self.running >= _SLOTS or self.hangs_next:
                self.hangs_next = False
                self.hung += 1
                await reader.read()
                break
            self.running += 1
            await asyncio.sleep(_RUN_S)
            self.running -= 1
            writer.write(GOOD.replace(b'{id}', request_id))
        writer.close()


async def _read_id(reader: asyncio.StreamReader) -> bytes:
    """Return the identifier of the next request, empty at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
    after = head.partition(b'x-request-id: ')[2]
    return after.partition(b'\r\n')[0]


async def _ignore(_: TargetLoad) -> None:
    """Do nothing when the call may run."""


async def _status(local: LocalTarget, **changes: Any) -> int:
    answer = await local.run(call_open(**changes), _ignore)
    return answer.status


async def test_target_is_never_overfilled() -> None:
    """Guards against calls that a full target never answers."""
    target = _HangingTarget()
    async with run_raw_target(target.serve) as address:
        local = local_target(address)
        statuses = await asyncio.gather(
            *(_status(local, max_wait_ms=5000.0) for _ in range(10)),
        )
    assert statuses == [200 for _ in statuses]
    assert target.hung == 0


async def test_hanging_connection_is_given_up() -> None:
    """Guards against further calls on a connection that is never answered,
    and against an outcome that says that the call did not run.
    """
    target = _HangingTarget()
    async with run_raw_target(target.serve) as address:
        local = local_target(address)
        assert await _status(local) == 200
        target.hangs_next = True
        with pytest.raises(PlacementFault, match='timeout') as fault:
            await _status(local, deadline_ms=100.0)
        assert not fault.value.not_run
        assert await _status(local) == 200
    assert target.hung == 1
