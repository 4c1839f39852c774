"""Tests of targets of a node outside of a mesh that send without end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

import pytest
from aiohttp import ClientSession, TCPConnector

from tests.daemon.crowds.faulty_answers import ANSWERS_BY_NAME, FaultyAnswer
from tests.daemon.crowds.faulty_target import (
    BROKEN,
    CALLERS,
    FaultyCalls,
    FaultyTarget,
    running_target,
)
from tests.daemon.crowds.limited_node import (
    FAULTY_VERSION,
    SOUND_VERSION,
    LimitedNode,
    limited_node,
)
from tests.daemon.processes import HANG_LIMIT_S
from tests.node.stand_ins.scripted import run_scripted

_LONGEST_LINE: Final = 4096
_LOG_BYTES: Final = 262_144
_NOT_RUN: Final = frozenset(('503 not-run', '504 not-run'))
_FAILED: Final = frozenset(('502 unknown', '504 unknown', BROKEN))
_WHOLE: Final = frozenset(('200', '204'))
# Answers to health checks, whose end the node does not need.
_HEALTH_ANSWERS: Final = (
    'header_lines',
    'empty_lines',
    'zeros',
    'interim_answers',
    'stated_body',
    'chunks',
    'trailers',
)


class _Play:
    """How calls are made."""

    __slots__ = ('calls_each', 'target', 'timeout_ms')

    def __init__(
        self, target: FaultyTarget, calls_each: int, timeout_ms: int
    ) -> None:
        self.target = target
        self.calls_each = calls_each
        self.timeout_ms = timeout_ms

    @asynccontextmanager
    async def running(
        self, folder: Path
    ) -> AsyncIterator[tuple[LimitedNode, FaultyCalls]]:
        async with (
            running_target(self.target) as faulty,
            run_scripted() as (sound, _),
            limited_node(
                folder,
                {SOUND_VERSION: sound, FAULTY_VERSION: faulty},
                self.timeout_ms,
            ) as node,
            ClientSession(connector=TCPConnector(limit=0)) as session,
        ):
            yield node, FaultyCalls(node, session, self.calls_each)

    async def ends(self, folder: Path) -> dict[str, str]:
        """Return how the calls ended, after all checks of the node."""
        async with self.running(folder) as (node, calls):
            async with asyncio.timeout(HANG_LIMIT_S):
                asked = await _ask_beside(node, calls)
                answered = await node.ask_sound()
            node.usage.check()
            _check_log(node.log.read_bytes())
            assert asked > 0
            assert answered == b'good'
            assert len(calls.ends_by_id) == CALLERS * self.calls_each
            return calls.ends_by_id


async def _ask_beside(node: LimitedNode, calls: FaultyCalls) -> int:
    """Count the answers of the sound target beside the faulty one."""
    playing = asyncio.create_task(calls.play())
    asked = 0
    while not (playing.done() or node.usage.is_killed):
        answer = await node.ask_sound()
        asked += bool(answer)
    await playing
    return asked


def _check_log(log: bytes) -> None:
    assert max(map(len, log.splitlines()), default=0) < _LONGEST_LINE
    assert len(log) < _LOG_BYTES


def _check_ends(
    ends_by_id: dict[str, str], target: FaultyTarget, answer: FaultyAnswer
) -> None:
    allowed = _FAILED | _WHOLE if answer.is_whole else _FAILED
    assert target.called
    for request_id, end in ends_by_id.items():
        if request_id in target.called:
            assert end in allowed
        else:
            assert end in allowed | _NOT_RUN


@pytest.mark.parametrize('name', ANSWERS_BY_NAME)
async def test_answers(name: str, tmp_path: Path) -> None:
    """Guards against a node that an answer without end ends or blocks, and
    against a wrong end of its call.
    """
    answer = ANSWERS_BY_NAME[name]()
    target = FaultyTarget(answer, answers_calls=True)
    play = _Play(target, calls_each=16, timeout_ms=250)
    _check_ends(await play.ends(tmp_path), target, answer)


@pytest.mark.parametrize('name', _HEALTH_ANSWERS)
async def test_health_checks(name: str, tmp_path: Path) -> None:
    """Guards against a node that the answer to a health check ends."""
    answer = ANSWERS_BY_NAME[name]()
    target = FaultyTarget(answer, answers_calls=False)
    # A check follows a silence of 250 ms.
    play = _Play(target, calls_each=4, timeout_ms=1000)
    ends = await play.ends(tmp_path)
    assert target.health_checks
    _check_ends(ends, target, answer)
