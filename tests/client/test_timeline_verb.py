"""Guards against unusable output of the verb ``timeline``."""

import io
import json
from pathlib import Path
from types import MappingProxyType

import pytest
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.main import run
from syrupy.assertion import SnapshotAssertion

from tests.client.timeline.recorders import Mesh, Recorder

MOVE = 'stamps:stable:2'


@pytest.fixture
def paths(tmp_path: Path) -> list[str]:
    """Return the time line files of a mesh with two edits and a cut-off."""
    mesh = Mesh(tmp_path, [300, 0, -300, 120])
    mesh.edit(1, [0.01, 0.02, 0.03, 0.02])
    leader, node = mesh.control[0], mesh.nodes[0]
    config = {'service': 'stamps', 'index': 2}
    start_s = mesh.now_s
    leader.record(start_s, 'entry_proposed', entry='e2')
    moves = [f'{MOVE} running 0.0']
    leader.record(start_s + 0.01, 'config_accepted', **config, moves=moves)
    leader.record(start_s + 0.02, 'entry_committed', entry='e2', index=2)
    node.record(start_s + 0.03, 'config_in_force', **config)
    for place, recorder in enumerate(reversed(mesh.recorders)):
        recorder.record(start_s + place, 'cut_off', move=MOVE, origin='n2')
    return [str(path) for path in mesh.paths]


async def _run(*arguments: str) -> tuple[int, str, str]:
    stdout, stderr = io.StringIO(), io.StringIO()
    code = await run(['timeline', *arguments], stdout, stderr)
    return code, stdout.getvalue(), stderr.getvalue()


async def test_text(paths: list[str], snapshot: SnapshotAssertion) -> None:
    """Guards against changes of the output for operators."""
    code, shown, messages = await _run(*paths)
    assert (code, messages) == (ExitCode.OK, '')
    assert shown == snapshot


FILTERS = MappingProxyType(
    {
        ('--index', '1'): {
            'entry_proposed',
            'config_accepted',
            'entry_committed',
            'config_in_force',
            'applied',
        },
        ('--move', MOVE): {
            'entry_proposed',
            'config_accepted',
            'entry_committed',
            'config_in_force',
            'cut_off',
        },
        ('--move', MOVE, '--index', '1'): set(),
    }
)


@pytest.mark.parametrize('options', FILTERS)
async def test_filters(paths: list[str], options: tuple[str, ...]) -> None:
    """Guards against events of other edits and missing events."""
    code, shown, _ = await _run(*paths, *options, '--output', 'json')
    body = json.loads(shown)
    assert code == ExitCode.OK
    assert {event['event'] for event in body['events']} == FILTERS[options]
    indexes = {event['details'].get('index') for event in body['events']}
    assert len(indexes - {None}) <= 1


@pytest.mark.parametrize('ending', ['.svg', '.png'])
async def test_picture(paths: list[str], ending: str, tmp_path: Path) -> None:
    """Guards against a picture without the processes and events."""
    picture = tmp_path / f'picture{ending}'
    code, _, _ = await _run(*paths, '--picture', str(picture))
    drawn = picture.read_bytes()
    assert code == ExitCode.OK
    if ending == '.png':
        assert drawn.startswith(b'\x89PNG')
        return
    for text in (b'c1', b'n2', b'config_in_force', b'cut_off'):
        assert text in drawn


async def test_unusable_input(paths: list[str], tmp_path: Path) -> None:
    """Guards against messages that do not name a truncated or missing file."""
    torn = Recorder(tmp_path, 'torn')
    torn.append('{"wall_s": 18')
    code, _, messages = await _run(*paths, str(torn.path))
    assert code == ExitCode.OK
    assert 'torn.jsonl: line 1: expected an event' in messages
    code, _, messages = await _run(str(tmp_path / 'none.jsonl'))
    assert code == ExitCode.NOT_FOUND
    assert 'none.jsonl' in messages
    empty = await _run(str(torn.path), '--picture', str(tmp_path / 'p.svg'))
    assert empty[0] == ExitCode.NOT_FOUND
