"""Guards against changes of voters that are reported wrongly."""

from typing import Any

import pytest
from aiohttp.test_utils import TestClient
from mustardspur_control.operators_api import build_operators_app
from mustardspur_control.store import Store
from pytest_aiohttp import AiohttpClient

from tests.control.operators_api.fakes import (
    LEADER_ADDRESS,
    FakeSources,
    FakeVoters,
    context_of,
    failure,
)

NEW_VOTER = '/v1/voters/c4'
VOTER_FIELDS = (
    ('stream', '127.0.0.1:7004'),
    ('http', '127.0.0.1:8004'),
    ('data_centre', 'split-a'),
    ('region', 'dalmacija'),
)


@pytest.fixture
def fake_voters() -> FakeVoters:
    """Return voters for the context."""
    return FakeVoters()


@pytest.fixture
async def client(
    aiohttp_client: AiohttpClient,
    fake_voters: FakeVoters,
) -> TestClient[Any, Any]:
    """Return a client of the interface."""
    context = context_of(Store(), FakeSources())
    context.membership = fake_voters
    return await aiohttp_client(build_operators_app(context))


async def test_replacing_a_voter_lists_the_new_ones(
    client: TestClient[Any, Any],
) -> None:
    """Guards against a replacement that does not remove the lost voter."""
    added = await client.put(NEW_VOTER, json=dict(VOTER_FIELDS))
    removed = await client.delete('/v1/voters/c2')
    listed = await client.get('/v1/voters')
    assert (added.status, removed.status) == (200, 200)
    assert (await listed.json())['voters'] == ['c1', 'c3', 'c4']


@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
async def test_failure_names_the_leader(
    client: TestClient[Any, Any],
    fake_voters: FakeVoters,
    method: str,
) -> None:
    """Guards against a refused change that looks committed."""
    fake_voters.failure = failure('not_leader', 'c2')
    answer = await client.request(method, NEW_VOTER, json=dict(VOTER_FIELDS))
    assert answer.status == 503
    assert (await answer.json())['leader'] == LEADER_ADDRESS


@pytest.mark.parametrize(
    ('field', 'submitted'),
    [('stream', 'host:7004'), ('region', ''), ('http', None)],
)
async def test_bad_address_is_a_finding(
    client: TestClient[Any, Any],
    field: str,
    submitted: str | None,
) -> None:
    """Guards against a voter without a valid address."""
    answer = await client.put(
        NEW_VOTER, json=dict(VOTER_FIELDS) | {field: submitted}
    )
    body = await answer.json()
    assert answer.status == 422
    assert [entry['path'] for entry in body['findings']] == [f'$.{field}']
