"""Tests of what the log lines say of an acknowledged order."""

import logging
from typing import Any

import pytest
from expression import Ok, Result
from mustardspur_agreement import Committed, ProposalError
from mustardspur_control.mesh.log_access import LogAccess
from mustardspur_core.mesh.entries import MeshAnswer, SetBaseVersion

from tests.support.virtual_time import in_virtual_time


class _Log:
    """A leader whose entries are committed by two of three voters."""

    is_leader = True

    async def propose(self, _: bytes) -> Result[Any, ProposalError]:
        answer = MeshAnswer(status='accepted', number=3)
        return Ok(
            Committed(index=7, term=2, holders=['c1', 'c3'], answer=answer)
        )

    async def assure(self, _: Committed) -> Result[bool, ProposalError]:
        return Ok(True)


@in_virtual_time
async def _propose() -> None:
    log: Any = _Log()
    entry = SetBaseVersion(service='forms', version='v1')
    assert (await LogAccess(log).propose(entry)).is_ok()


def test_acknowledged_order_names_who_holds_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a lost order of which no log line says which instances
    had stored it, and where.
    """
    with caplog.at_level(logging.INFO):
        _propose()
    line: Any = caplog.records[0]
    assert len(caplog.records) == 1
    assert line.getMessage() == 'order committed'
    assert line.order == 'SetBaseVersion'
    assert (line.outcome, line.index, line.term) == ('accepted', 7, 2)
    assert line.holders == ['c1', 'c3']
    assert line.survives_disk_loss
