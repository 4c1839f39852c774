"""Tests of crowds of clients that keep to no limits."""

from pathlib import Path
from typing import Final

import pytest

from tests.platform.crowds.crowd import (
    CALLERS,
    CONTROL_LISTENERS,
    NODE_LISTENERS,
    Listener,
    hostile_crowd,
)
from tests.platform.crowds.floods import FLOODS_BY_NAME, PARSED
from tests.platform.crowds.limited_mesh import (
    limited_mesh,
    ordinary_requests,
    watched,
)

_ANSWER_BYTES: Final = 100_000
_FEW_DESCRIPTORS: Final = 128
_FLOODS: Final = tuple(FLOODS_BY_NAME)
_RAW_FLOODS: Final = tuple(name for name in _FLOODS if name not in PARSED)


async def _play(folder: Path, name: str, *listeners: Listener) -> None:
    host = listeners[0].host
    async with (
        limited_mesh(folder, _ANSWER_BYTES) as mesh,
        watched(mesh, host) as usage,
        hostile_crowd(mesh, listeners, name),
    ):
        await ordinary_requests(mesh, host, usage)
    usage.check()  # noqa: WPS441


@pytest.mark.parametrize('name', _RAW_FLOODS)
async def test_callers(name: str, tmp_path: Path) -> None:
    """Guards against a node that hostile callers end or block."""
    await _play(tmp_path, name, CALLERS)


@pytest.mark.parametrize('name', _FLOODS)
async def test_clients_of_a_node(name: str, tmp_path: Path) -> None:
    """Guards against a node that clients of its other addresses end or
    block.
    """
    await _play(tmp_path, name, *NODE_LISTENERS[1:])


@pytest.mark.parametrize('name', _FLOODS)
async def test_operators(name: str, tmp_path: Path) -> None:
    """Guards against a control instance that hostile clients end or block."""
    await _play(tmp_path, name, *CONTROL_LISTENERS)


@pytest.mark.parametrize('name', ['open_head', 'announced_body'])
@pytest.mark.parametrize(
    'listeners',
    [NODE_LISTENERS, CONTROL_LISTENERS],
    ids=['node', 'control'],
)
async def test_held_connections(
    name: str, listeners: tuple[Listener, ...], tmp_path: Path
) -> None:
    """Guards against a process whose clients hold all connections that it
    accepts, so that it answers no others.
    """
    host = listeners[0].host
    size = len(listeners) * _FEW_DESCRIPTORS
    async with (
        limited_mesh(tmp_path, descriptors=_FEW_DESCRIPTORS) as mesh,
        watched(mesh, host) as usage,
        hostile_crowd(mesh, listeners, name, size),
    ):
        await ordinary_requests(mesh, host, usage)
    usage.check()  # noqa: WPS441
