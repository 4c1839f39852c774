"""Guards against responses that differ from the design, section 4.4."""

import json
import zlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import pytest
from aiohttp.test_utils import TestClient
from mustardspur_control.operators_api import (
    NodeInForce,
    OperatorsContext,
    build_operators_app,
)
from mustardspur_control.operators_api.bodies import MAX_BODY_BYTES
from mustardspur_control.store import Store
from pytest_aiohttp import AiohttpClient

from tests.control.builders import MOVE, PROFILE, SERVICE, document
from tests.control.operators_api.fakes import (
    LEADER_ADDRESS,
    FakeLog,
    FakeSources,
    context_of,
    failure,
)

PROFILE_PATH = f'/v1/profiles/{PROFILE}'
SERVICE_PATH = f'/v1/services/{SERVICE}'
ORDERS_PATH = f'/v1/moves/{MOVE}/orders'
_Client = TestClient[Any, Any]
_InForceCase = tuple[list[NodeInForce], bool]


class Session:
    """A client of an operators' interface over fakes."""

    __slots__ = ('client', 'context', 'sources')

    def __init__(
        self,
        client: _Client,
        context: OperatorsContext,
        sources: FakeSources,
    ) -> None:
        """Initialise with a client of an interface over the context."""
        self.client = client
        self.context = context
        self.sources = sources

    @property
    def log(self) -> FakeLog:
        """The log, for its failures."""
        assert isinstance(self.context.log, FakeLog)
        return self.context.log

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
    ) -> tuple[int, Any]:
        """Return status and decoded body of a call."""
        raw = {'data': body} if isinstance(body, bytes) else {'json': body}
        async with self.client.request(method, path, **raw) as response:
            return response.status, await response.json()

    async def put(self, version: str, number: int, edit_id: str) -> Any:
        """Put a profile and return status and body."""
        return await self.call(
            'PUT', PROFILE_PATH, put(version, number, edit_id)
        )


def put(version: str, number: int, edit_id: str) -> dict[str, Any]:
    """Return the body of an edit of the profile."""
    return {
        'edit_id': edit_id,
        'operator': 'ana',
        'expected_number': number,
        'profile': document(version),
    }


FOLLOW = MappingProxyType(
    {'edit_id': 'f', 'operator': 'ana', 'profile': PROFILE}
)
PAUSE = MappingProxyType({'edit_id': 'o', 'operator': 'bor', 'order': 'pause'})


@pytest.fixture
async def session(aiohttp_client: AiohttpClient) -> Session:
    """Return a session with profile 1.0, the service, and a move to 1.1."""
    sources = FakeSources()
    context = context_of(Store(), sources)
    client = await aiohttp_client(build_operators_app(context))
    session_with_move = Session(client, context, sources)
    await session_with_move.put('1.0', 0, 'e1')
    await session_with_move.call('PUT', SERVICE_PATH, dict(FOLLOW))
    await session_with_move.put('1.1', 1, 'e2')
    return session_with_move


async def test_edits_answer_with_number_and_index(session: Session) -> None:
    """Guards against an accepted edit without its number and index."""
    status, body = await session.put('1.2', 2, 'e3')
    assert status == 200
    assert (body['number'], body['index']) == (3, 4)
    assert 'starts lens-bench:stable:4, 1.0 -> 1.2' in body['changes']


async def test_conflict_names_the_earlier_operator(session: Session) -> None:
    """Guards against a conflict without the earlier edit's change."""
    status, body = await session.put('1.2', 1, 'e3')
    assert status == 409
    assert (body['current_number'], body['edited_by']) == (2, 'ana')
    assert '"1.0" -> "1.1"' in body['changes'][0]


async def test_resend_after_a_lost_answer(session: Session) -> None:
    """Guards against a resend that edits twice or loses its answer."""
    session.log.lost_answers = 1
    lost_status, lost = await session.put('1.2', 2, 'e3')
    status, body = await session.put('1.2', 2, 'e3')
    assert (lost_status, lost['kind']) == (503, 'unknown')
    assert (status, body['number'], body['index']) == (200, 3, 4)


async def test_resend_after_its_deadline(session: Session) -> None:
    """Guards against findings in place of the first answer to an edit."""
    edit = put('1.2', 2, 'e3')
    edit['profile']['move'].pop('within_s')
    edit['profile']['move']['by'] = '2027-01-15T10:00:00+00:00'
    first = await session.call('PUT', PROFILE_PATH, edit)
    session.sources.now_s += 86_400
    assert await session.call('PUT', PROFILE_PATH, edit) == first
    index = session.context.store.index
    new_edit = edit | {'edit_id': 'e4', 'expected_number': 3}
    status, body = await session.call('PUT', PROFILE_PATH, new_edit)
    assert status == 422
    assert body['findings'][0]['path'] == '$.move.by'
    assert session.context.store.index == index


def _without(name: str) -> dict[str, Any]:
    body = put('1.2', 2, 'e3')
    body.pop(name)
    return body


def _with(path: str, value: Any) -> dict[str, Any]:
    body = put('1.2', 2, 'e3')
    body['profile'][path] = value
    return body


# Bodies of a put that must be refused, and the place of the finding.
BAD_BODIES: Mapping[str, tuple[Any, str]] = MappingProxyType(
    {
        'no JSON': (b'{"edit_id"', '$'),
        'not UTF-8': (b'"\xff"', '$'),
        'half a surrogate': (json.dumps('\ud800').encode(), '$'),
        'not a number': (b'{"expected_number": NaN}', '$'),
        'twice the same key': (b'{"edit_id": "a", "edit_id": "b"}', '$'),
        'nested too deep': (b'[' * 100_000, '$'),
        'no object': ([], '$'),
        'no edit identifier': (_without('edit_id'), '$'),
        'long edit identifier': (put('1.2', 2, 'e' * 129), '$.edit_id'),
        'huge number': (put('1.2', 10**30, 'e3'), '$.expected_number'),
        'text for a number': (
            put('1.2', 2, 'e3') | {'expected_number': '2'},
            '$.expected_number',
        ),
        'unknown field': (put('1.2', 2, 'e3') | {'force': True}, '$'),
        'other name': (_with('name', 'other'), '$.name'),
        'no routes': (_with('routes', []), '$.routes'),
        'unknown class': (_with('call_classes', {}), '$.call_classes'),
    }
)


@pytest.mark.parametrize('name', BAD_BODIES)
async def test_bad_body_gives_findings(session: Session, name: str) -> None:
    """Guards against a bad body that is applied or lacks its findings."""
    sent, path = BAD_BODIES[name]
    before = session.context.store.index
    status, body = await session.call('PUT', PROFILE_PATH, sent)
    assert status == 422
    assert path in [finding['path'] for finding in body['findings']]
    assert session.context.store.index == before


async def test_large_body_is_refused(session: Session) -> None:
    """Guards against reading a body of any length into memory."""
    sent = b' ' * (MAX_BODY_BYTES + 1)
    status, body = await session.call('PUT', PROFILE_PATH, sent)
    assert status == 413
    assert 'reason' in body


async def test_encoded_body_is_refused(session: Session) -> None:
    """Guards against a small body that takes the memory once expanded."""
    sent = zlib.compress(json.dumps(put('1', 0, 'a')).encode())
    headers = {'Content-Encoding': 'deflate'}
    request = session.client.put(PROFILE_PATH, data=sent, headers=headers)
    async with request as response:
        assert response.status == 415


ERROR_CASES = (
    ('GET', '/v1/profiles/none', None, 404),
    ('GET', '/v1/services/none', None, 404),
    ('GET', '/v1/moves/none', None, 404),
    ('GET', '/v1/none', None, 404),
    ('DELETE', PROFILE_PATH, None, 405),
    (
        'PUT',
        '/v1/services/s',
        dict(FOLLOW) | {'edit_id': 'u', 'profile': 'none'},
        404,
    ),
    ('PUT', '/v1/services/a:b', dict(FOLLOW) | {'edit_id': 'n'}, 422),
    ('POST', '/v1/moves/none/orders', dict(PAUSE), 404),
    ('POST', ORDERS_PATH, dict(PAUSE) | {'order': 'stop'}, 422),
)


@pytest.mark.parametrize(('method', 'path', 'body', 'status'), ERROR_CASES)
async def test_error_status_and_body(
    session: Session,
    method: str,
    path: str,
    body: Any,
    status: int,
) -> None:
    """Guards against an error that is not JSON or has the wrong status."""
    answered, explanation = await session.call(method, path, body)
    assert answered == status
    assert 'findings' in explanation or 'reason' in explanation


@pytest.mark.parametrize('kind', ['not_leader', 'no_quorum', 'disk', 'unknown'])
async def test_edit_without_commit(session: Session, kind: str) -> None:
    """Guards against an error without its kind, reason or the leader."""
    session.log.failure = failure(kind)
    status, body = await session.put('1.2', 2, 'e3')
    assert (status, body['kind']) == (503, kind)
    assert body['leader'] == LEADER_ADDRESS
    assert body['reason']


READS = (
    '/v1/profiles',
    PROFILE_PATH,
    '/v1/services',
    SERVICE_PATH,
    '/v1/moves',
    f'/v1/moves/{MOVE}',
)


@pytest.mark.parametrize('path', READS)
async def test_read_reports_its_staleness(session: Session, path: str) -> None:
    """Guards against a stale state that is reported as current."""
    status, body = await session.call('GET', path)
    assert (status, body['read_index']) == (200, 3)
    assert body['possibly_stale'] is False
    session.log.failure = failure('no_quorum')
    status, body = await session.call('GET', path)
    assert (status, body['read_index']) == (200, 3)
    assert body['possibly_stale'] is True
    assert 'test no_quorum' in body['stale_reason']


def _node(name: str, index: int, reason: str = '') -> NodeInForce:
    return NodeInForce(
        node=name,
        data_centre='split-a',
        index=index,
        pending_index=3,
        reason=reason,
    )


IN_FORCE: tuple[_InForceCase, ...] = (
    ([], False),
    ([_node('n1', 3)], True),
    ([_node('n1', 3), _node('n2', 2, 'no targets of 1.1')], False),
    ([_node('n1', 3), _node('n2', 7)], True),
)


@pytest.mark.parametrize(('nodes', 'everywhere'), IN_FORCE)
async def test_service_shows_what_is_in_force(
    session: Session,
    nodes: list[NodeInForce],
    everywhere: bool,
) -> None:
    """Guards against 'in force everywhere' while a node waits."""
    session.sources.nodes = nodes
    status, body = await session.call('GET', SERVICE_PATH)
    assert (status, body['accepted_index']) == (200, 3)
    assert body['in_force_everywhere'] is everywhere
    assert [node['reason'] for node in body['nodes']] == [
        node.reason for node in nodes
    ]


async def test_move_shows_decisions_and_nodes(session: Session) -> None:
    """Guards against a move record without reasons or waiting nodes."""
    session.sources.nodes = [_node('n1', 4), _node('n2', 3, 'no targets')]
    status, answer = await session.call('POST', ORDERS_PATH, dict(PAUSE))
    assert (status, answer['index']) == (200, 4)
    _, body = await session.call('GET', f'/v1/moves/{MOVE}')
    assert [decision['reason'] for decision in body['decisions']] == [
        'started by an edit',
        'paused by bor',
    ]
    assert body['in_force_on'] == ['n1']
    assert body['not_in_force_on'][0]['reason'] == 'no targets'
    assert body['report'] == {'evidence': []}


async def test_status_and_targets(session: Session) -> None:
    """Guards against a status that needs a quorum."""
    session.log.failure = failure('not_leader')
    status, body = await session.call('GET', '/v1/status')
    assert (status, body['role'], body['id']) == (200, 'follower', 'c1')
    assert (body['commit_index'], body['applied_index']) == (3, 3)
    assert await session.call('GET', '/v1/targets') == (200, {'targets': []})
