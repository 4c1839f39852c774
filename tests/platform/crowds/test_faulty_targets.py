"""Tests of nodes whose target sends bytes that are no answer, without end."""

import asyncio
from collections import Counter
from itertools import product
from pathlib import Path
from typing import Final

import pytest

from tests.platform.crowds.answers import (
    ANSWERS_BY_NAME,
    OF_HEALTH_CHECKS,
    STATUSES_BY_NAME,
)
from tests.platform.crowds.faulty_mesh import (
    FAR_NODE,
    FAULTY_PATH,
    NODES,
    SOUND_PATH,
    Caller,
    faulty_mesh,
    longest_line,
    unless_killed,
    until_answered,
)
from tests.platform.crowds.faulty_target import FaultyTarget
from tests.platform.crowds.limited_mesh import (
    MAX_HEADER_BYTES,
    NODE,
    Usage,
    watched,
)
from tests.platform.mesh_processes import POLL_S, Mesh

_CALLERS_AT_NODE: Final = 2
_CALLS: Final = 30
# Some kinds take up a call until its deadline.
_DEADLINE_MS: Final = 1000
# Statuses of calls that a node gives up.
_FAILURES: Final = frozenset((502, 503, 504))


class _Play:
    """Callers of the faulty service, and what they and the nodes see."""

    __slots__ = ('_callers', '_mesh', '_target', 'usages')

    def __init__(
        self, mesh: Mesh, target: FaultyTarget, usages: tuple[Usage, ...]
    ) -> None:
        self._mesh = mesh
        self._target = target
        self.usages = usages
        self._callers = [
            Caller(mesh, node, _DEADLINE_MS)
            for node, _ in product(NODES, range(_CALLERS_AT_NODE))
        ]

    @property
    def results(self) -> Counter[int | str]:
        """Results of all calls."""
        return sum((each.results for each in self._callers), Counter())

    async def call_until_answered(self) -> None:
        """Make a call of the service of the target at each node."""
        await asyncio.gather(
            *(until_answered(self._mesh, node, FAULTY_PATH) for node in NODES)
        )

    async def run(self, name: str) -> None:
        """Call a faulty target, then a sound one; call a sound one besides."""
        self._target.answer = ANSWERS_BY_NAME[name]
        await unless_killed(
            asyncio.gather(*map(_call, self._callers), self._call_sound()),
            self.usages,
        )
        self._target.answer = None
        self._target.health_answer = None
        await unless_killed(self.call_until_answered(), self.usages)

    def check(self, name: str) -> None:
        """Check what the nodes used and wrote, and the results of calls."""
        lines = [
            longest_line(self._mesh.folder / f'{each}.log') for each in NODES
        ]
        peaks = [each.peak_mib for each in self.usages]
        # Shown where a check fails.
        print(peaks, lines, self.results)  # noqa: WPS421
        for usage in self.usages:
            usage.check()
        assert max(lines) <= MAX_HEADER_BYTES
        allowed = _FAILURES | STATUSES_BY_NAME.get(name, frozenset())
        assert set(self.results) <= allowed
        refused = {
            path for each in self._callers for path in each.refused_paths
        }
        assert not refused & self._target.paths

    async def _call_sound(self) -> None:
        """Make a call of the sound service beside the faulty ones."""
        while not self._target.began.is_set():
            await asyncio.sleep(POLL_S)
        await until_answered(self._mesh, NODE, SOUND_PATH)


async def _call(caller: Caller) -> None:
    while caller.results.total() < _CALLS:
        await caller.call()


async def _play(folder: Path, name: str, *, at_health_checks: bool) -> None:
    health_answer = ANSWERS_BY_NAME[name] if at_health_checks else None
    async with (
        faulty_mesh(folder, health_answer=health_answer) as (mesh, target),
        watched(mesh, NODE) as usage,
        watched(mesh, FAR_NODE) as far_usage,
    ):
        play = _Play(mesh, target, (usage, far_usage))
        # Calls are sent to a target that is healthy or reports again.
        confirmed = mesh.until_logged(NODE, '"target confirmed"')
        await unless_killed(confirmed, play.usages)
        await unless_killed(play.call_until_answered(), play.usages)
        await play.run(name)
    play.check(name)


@pytest.mark.parametrize('name', ANSWERS_BY_NAME)
async def test_answers_to_calls(name: str, tmp_path: Path) -> None:
    """Guards against nodes that a target ends or blocks with what it sends in
    the place of an answer.
    """
    await _play(tmp_path, name, at_health_checks=False)


@pytest.mark.parametrize('name', OF_HEALTH_CHECKS)
async def test_answers_to_health_checks(name: str, tmp_path: Path) -> None:
    """Guards against a node that a target ends with what it sends in the
    place of an answer to a health check.
    """
    await _play(tmp_path, name, at_health_checks=True)
