"""Snapshots of the sessions of operators in section 1.1 of the design."""

import copy
from pathlib import Path
from typing import Any

import pytest
from mustardspur_control.operators_api import NodeInForce
from mustardspur_core.edits import StepMove
from mustardspur_core.state import Target
from syrupy.assertion import SnapshotAssertion

from tests.client.sessions import Session, StartServer, start_session
from tests.control.builders import NOW_S, document

_DATA_CENTRES = ('erie-toledo', 'mich-milwaukee')


@pytest.fixture
async def session(aiohttp_server: StartServer, tmp_path: Path) -> Session:
    """Return a session with a running control instance."""
    return await start_session(aiohttp_server, tmp_path)


def _nodes(*indexes: int, reason: str = '') -> list[NodeInForce]:
    return [
        NodeInForce(
            node=f'n{number}',
            data_centre=_DATA_CENTRES[number % 2],
            index=index,
            pending_index=max(indexes),
            reason=reason if index < max(indexes) else '',
        )
        for number, index in enumerate(indexes)
    ]


def _step(move: str, expected_step: int, share: float, state: str) -> StepMove:
    return StepMove(
        move=move,
        expected_step=expected_step,
        state=state,
        share=share,
        reason='no failures',
        figures={'calls': 1200.0, 'failure_ratio': 0.002},
        at_s=NOW_S + expected_step,
    )


def _target(version: str) -> Target:
    return Target(
        id=f't-{version}',
        service='lens-bench',
        version=version,
        address='127.0.0.1:9001',
        incarnation=1,
        slots=9,
        state='ready',
        node='n0',
        data_centre='erie-toledo',
        region='erie',
    )


def _lens_bench(version: str) -> dict[str, Any]:
    profile = document(version, 'lens-bench-standard')
    profile['move']['weighing'] = 'control_bytes'
    return profile


def _invalid(profile: dict[str, Any]) -> dict[str, Any]:
    invalid = copy.deepcopy(profile)
    invalid['routes'][0]['weights'] = {'canary': 0}
    invalid['routes'][0]['call_class'] = 'bulk'
    return invalid


async def test_cooperative(
    session: Session,
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against changes of the output for the cooperative's operators."""
    operator = ('--operator', 'ilse')
    good = session.write('lens-1.4.json', _lens_bench('1.4.0'))
    bad = session.write('bad.json', _invalid(_lens_bench('1.5.0')))
    newer = session.write('lens-1.5.json', _lens_bench('1.5.0'))
    await session.run('check', bad, good)
    await session.run('put', good, *operator)
    await session.run('put', good, '--new', *operator)
    await session.run('follow', 'lens-bench', 'lens-bench-standard', *operator)
    await session.run('put', newer, *operator)
    session.sources.nodes = _nodes(3, 2, reason='no target of 1.5.0 is known')
    await session.run('service', 'lens-bench')
    await session.run('wait', 'lens-bench', '--within', '0')
    session.sources.nodes = _nodes(3, 3)
    await session.run('wait', 'lens-bench', '3')
    session.schedule_steps(
        _step('lens-bench:stable:3', 0, 0.02, 'running'),
        _step('lens-bench:stable:3', 1, 1.0, 'running'),
        _step('lens-bench:stable:3', 2, 1.0, 'done'),
    )
    move = 'lens-bench:stable:3'
    await session.run('watch', move, '--interval', '0')
    session.sources.nodes = _nodes(6, 6)
    await session.run('move', move)
    session.sources.known_targets = [_target('1.4.0'), _target('1.5.0')]
    await session.run('targets', '--service', 'lens-bench')
    await session.run('list')
    await session.run('status', '--output', 'json')
    assert '\n\n'.join(session.transcript) == snapshot


async def test_obrazac(session: Session, snapshot: SnapshotAssertion) -> None:
    """Guards against changes of the output for Obrazac's operators."""
    ana, bor = ('--operator', 'ana'), ('--operator', 'bor')
    move = 'stamps:stable:3'
    files = {
        version: session.write(
            f'stamps-{version}.json',
            document(version, 'stamps'),
        )
        for version in ('2.0', '2.1', '2.2')
    }
    await session.run('put', files['2.0'], '--new', *ana)
    await session.run('follow', 'stamps', 'stamps', *ana)
    await session.run('get', 'stamps', '--save', str(session.folder / 's.json'))
    await session.run('put', files['2.1'], *ana)
    await session.run('put', files['2.2'], '--expected-number', '1', *bor)
    session.commit_step(_step(move, 0, 0.02, 'running'))
    await session.run('pause', move, *bor)
    await session.run('pause', move, *ana)
    await session.run('resume', move, *bor)
    await session.run('take-back', move, *bor)
    await session.run('watch', move)
    await session.run('put', files['2.2'], *ana, '--output', 'json')
    await session.run('force', 'stamps:stable:8', *ana)
    await session.run('moves')
    await session.run('moves', '--state', 'running', '--output', 'json')
    await session.run('follow', 'stamps', 'none', *ana)
    await session.run('service', 'forms', '--output', 'json')
    assert '\n\n'.join(session.transcript) == snapshot
