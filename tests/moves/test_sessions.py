"""Guards against unintended changes of the course of a move.

Each snapshot shows every committed step with its reason and figures.
"""

import pytest
from mustardspur_core.record import replaced
from syrupy.assertion import SnapshotAssertion

from benchmarks.moves import bad_kinds, good_kinds
from benchmarks.moves.kinds import all_kinds
from benchmarks.moves.session import START_S, Case, Session, run_session
from benchmarks.moves.strategies import MIXTURE
from benchmarks.moves.users import USERS, UserLoad

KIND_MODULES = (good_kinds, bad_kinds)
RATE = 0.25
REPLACED_AT_S = 40


def _session(user: UserLoad, kind_name: str) -> Session:
    kinds = {kind.name: kind for kind in all_kinds()}
    return Session(
        Case(
            user=user,
            kind=kinds[kind_name],
            rate=RATE,
            seed=1,
            strategy=MIXTURE,
        )
    )


def _step_lines(session: Session) -> list[str]:
    """Return time, state, reason and figures of each committed step."""
    lines = []
    for step in session.mesh.steps:
        second = round(step.at_s - START_S)
        lines.append(f'{second} s {step.move} {step.state} {step.share}')
        lines.extend((step.reason, str(step.figures)))
    return lines


@pytest.mark.parametrize('user', USERS, ids=lambda user: str(user.name))
@pytest.mark.parametrize(
    'kind',
    [
        'good',
        'good, data centre isolated',
        '20% errors',
        '20% errors late',
        '3 times slower late',
    ],
)
async def test_golden_session(
    user: UserLoad,
    kind: str,
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against changes of shares, times or reasons."""
    session = _session(user, kind)
    await run_session(session)
    assert _step_lines(session) == snapshot


@pytest.mark.parametrize('user', USERS, ids=lambda user: str(user.name))
async def test_golden_raced_session(
    user: UserLoad,
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against a new move that conflicts with the one it replaces."""
    session = _session(user, 'good')
    while session.now_s < START_S + REPLACED_AT_S:
        await session.run_second()
    move = session.mesh.move
    session.mesh.add_move(
        replaced(
            move,
            id=f'{user.service}:stable:99',
            started_s=session.now_s,
            by_s=session.now_s + session.length_s,
            share=0,
            step=0,
        )
    )
    await run_session(session)
    assert _step_lines(session) == snapshot
