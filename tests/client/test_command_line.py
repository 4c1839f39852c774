"""Guards against misinterpreted options and files."""

import io
import json
from pathlib import Path

import pytest
from mustardspur_client.arguments import CONTROL_VARIABLE
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.main import run
from mustardspur_client.numbers import last_numbers
from mustardspur_client.verbs import verbs
from mustardspur_control.operators_api import NodeInForce
from mustardspur_core.conversion import encode_mapping

from tests.client.sessions import Session, StartServer, start_session
from tests.control.builders import PROFILE, SERVICE, document
from tests.control.operators_api.fakes import FakeLog, failure
from tests.core.mesh.builders import route, table


async def _run(*line: str) -> tuple[int, str]:
    output = io.StringIO()
    code = await run(line, output, output)
    return code, output.getvalue()


@pytest.mark.parametrize('name', [*verbs(), ''])
async def test_help(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a verb without help or without the exit codes."""
    line = [name, '--help'] if name else ['--help']
    with pytest.raises(SystemExit) as raised:
        await _run(*line)
    shown = ' '.join(capsys.readouterr().out.split())
    assert raised.value.code == 0
    assert 'Exit codes: 0 ok, 2 usage, 3 findings' in shown
    for verb in verbs().values():
        if verb.name == name or not name:
            assert verb.summary.rstrip('.') in shown


async def test_check_table(tmp_path: Path) -> None:
    """Guards against a table that passes the check and is then refused."""
    sound = table(1, route('drafts'))
    faulty = table(2, route('drafts', max_attempts=0))
    paths = []
    for number, each in enumerate((sound, faulty)):
        path = tmp_path / f'{number}.json'
        path.write_text(json.dumps(encode_mapping(each)))
        paths.append(str(path))
    code, shown = await _run('check-table', paths[0])
    assert code == ExitCode.OK
    assert 'warning: routing table: services.stamps' in shown
    code, shown = await _run('check-table', paths[1], '--against', paths[0])
    assert code == ExitCode.FINDINGS
    assert 'error: routing table: routes.drafts.attempts' in shown
    assert 'change: route drafts: max_attempts 2 becomes 0' in shown
    code, shown = await _run('check-table', str(tmp_path / 'absent.json'))
    assert code == ExitCode.FINDINGS


@pytest.mark.parametrize(
    'address',
    ['example.org:80', '127.0.0.1', '127.0.0.1:0', '127.0.0.1:x', ':80'],
)
async def test_bad_address(
    address: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against accepting a host name or a wrong port."""
    with pytest.raises(SystemExit) as raised:
        await _run('list', '--control', address)
    assert raised.value.code == ExitCode.USAGE
    assert 'argument --control' in capsys.readouterr().err
    monkeypatch.setenv(CONTROL_VARIABLE, f'127.0.0.1:1,{address}')
    code, shown = await _run('list')
    assert code == ExitCode.USAGE
    assert CONTROL_VARIABLE in shown


async def test_no_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a verb without an address that ends silently."""
    monkeypatch.delenv(CONTROL_VARIABLE, raising=False)
    code, shown = await _run('list')
    assert code == ExitCode.USAGE
    assert CONTROL_VARIABLE in shown


@pytest.mark.parametrize('content', ['', 'no JSON', '[]', '{"m": {"p": "x"}}'])
def test_unusable_numbers(tmp_path: Path, content: str) -> None:
    """Guards against an unusable state file that makes verbs fail."""
    numbers = last_numbers(tmp_path, ['m'])
    numbers.path.write_text(content, 'utf-8')
    assert numbers.get('p') is None
    numbers.put('p', 4)
    assert numbers.get('p') == 4
    assert last_numbers(tmp_path, ['other']).get('p') is None


@pytest.fixture
async def session(aiohttp_server: StartServer, tmp_path: Path) -> Session:
    """Return a session with a running control instance and a profile."""
    started = await start_session(aiohttp_server, tmp_path)
    await started.run('put', started.write('p.json', document()), '--new')
    return started


async def test_stale_read_is_reported(session: Session) -> None:
    """Guards against stale state that is shown as current."""
    assert isinstance(session.context.log, FakeLog)
    session.context.log.failure = failure('no_quorum', None)
    assert await session.run('get', PROFILE) == ExitCode.OK
    assert 'possibly stale, read at index 1' in session.transcript[-1]


async def test_edit_is_resent_after_lost_answer(session: Session) -> None:
    """Guards against an edit that is applied twice or abandoned early."""
    assert isinstance(session.context.log, FakeLog)
    session.context.log.lost_answers = 1
    path = session.write('p.json', document('1.1'))
    assert await session.run('put', path) == ExitCode.OK
    assert 'accepted at index 2' in session.transcript[-1]
    assert session.context.store.profiles[PROFILE].number == 2


async def test_edit_without_quorum(session: Session) -> None:
    """Guards against a failed edit that is reported otherwise."""
    assert isinstance(session.context.log, FakeLog)
    session.context.log.failure = failure('no_quorum', None)
    path = session.write('p.json', document('1.1'))
    code = await session.run('put', path, '--timeout', '0')
    assert code == ExitCode.UNAVAILABLE
    assert 'test no_quorum' in session.transcript[-1]


# Index in force on the only node, or None without a node; the index to wait
# for, where 2 is the accepted one; the exit code; a part of the output.
WAITS = (
    (2, '2', ExitCode.OK, 'on all 1 nodes'),
    (1, '2', ExitCode.TIMED_OUT, '1 nodes wait'),
    (None, '2', ExitCode.TIMED_OUT, 'no node of the service is known'),
    (9, '3', ExitCode.TIMED_OUT, 'the newest accepted index is 2'),
)


@pytest.mark.parametrize(('in_force', 'index', 'code', 'expected'), WAITS)
async def test_wait(
    session: Session,
    in_force: int | None,
    index: str,
    code: int,
    expected: str,
) -> None:
    """Guards against reporting 'in force' if that is not known."""
    await session.run('follow', SERVICE, PROFILE)
    if in_force is not None:
        session.sources.nodes = [
            NodeInForce(
                node='n1',
                data_centre='split-a',
                index=in_force,
                pending_index=in_force,
                reason='',
            ),
        ]
    assert await session.run('wait', SERVICE, index, '--within', '0') == code
    assert expected in session.transcript[-1]
