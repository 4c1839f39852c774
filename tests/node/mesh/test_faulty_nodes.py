"""Tests of answers from a faulty node, or one of another version."""

import asyncio
from typing import Final

import pytest
from mustardspur_core.mesh.call_messages import CallFailed
from mustardspur_node.mesh.calls import PlacementFault

from tests.node.mesh.builders import call_open
from tests.node.stand_ins.faulty_node import (
    LOAD,
    FaultyNode,
    ignore,
    linked_node,
)

_TIME_S: Final = 10
_LONG: Final = 'x' * 1_000_000


async def test_long_fault_is_cut() -> None:
    """Guards against a node that fills the memory, the log or the names of
    metrics of the caller's node with the text of a fault.
    """
    failed = CallFailed(kind=_LONG, not_run=True, detail=_LONG, load=LOAD)
    async with linked_node(FaultyNode(failed)) as link:
        with pytest.raises(PlacementFault) as raised:
            async with asyncio.timeout(_TIME_S):
                await link.run(call_open(), ignore)
    assert raised.value.kind == 'broken'
    assert raised.value.not_run
    assert not raised.value.arrived
    assert raised.value.detail.startswith('xxx')
    assert len(str(raised.value)) < 1000
