"""Guards against a second run of a call with an idempotency key."""

import asyncio
from types import MappingProxyType

from aiohttp import web
from mustardspur_node.calls.idempotency import MAX_KEPT_BYTES

from tests.node.stand_ins.mesh import Mesh, run_mesh, run_target
from tests.node.stand_ins.scripted import CLOSE, GOOD, KEEP, run_scripted
from tests.node.stand_ins.views import make_target, make_view

KEY = MappingProxyType({'idempotency-key': 'k1'})
REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nx-mustardspur-refused: 1\r\n'
    b'content-length: 0\r\n\r\n'
)


async def test_resend_gets_the_first_response() -> None:
    """Guards against a second run after a complete response."""
    steps = [(GOOD, KEEP), (GOOD.replace(b'good', b'else'), KEEP)]
    async with run_scripted(*steps) as (address, target):
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answers = await mesh.repeat(
                3,
                'POST',
                '/prescriptions',
                data=b'rx',
                headers=KEY,
            )
            other = await mesh.call(
                'POST',
                '/prescriptions',
                data=b'other',
                headers=KEY,
            )
    assert set(answers) == {(200, None, b'good')}
    assert other[:2] == (422, 'not-run')
    assert target.requests == 1


async def test_resend_is_refused_while_outcome_is_unknown() -> None:
    """Guards against a second run after a lost response."""
    async with run_scripted((b'', CLOSE)) as (address, target):
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answers = await mesh.repeat(
                2,
                'POST',
                '/prescriptions',
                headers=KEY,
            )
            resent = await mesh.call(
                'POST',
                '/prescriptions',
                headers={
                    'idempotency-key': 'k2',
                    'x-mustardspur-resend': '1',
                },
            )
    assert {answer[:2] for answer in answers} == {(502, 'unknown')}
    assert resent[:2] == (409, 'unknown')
    assert target.requests == 1


async def test_call_that_was_not_run_may_be_sent_again() -> None:
    """Guards against blocking the resend of a refused call."""
    async with run_scripted((REFUSAL, KEEP)) as (address, target):
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answers = await mesh.repeat(
                2,
                'POST',
                '/prescriptions',
                headers=KEY,
            )
    assert [answer[:2] for answer in answers] == [
        (503, 'not-run'),
        (200, None),
    ]
    assert target.requests == 2


async def test_keyed_call_continues_without_its_caller() -> None:
    """Guards against losing the outcome when the caller disconnects."""
    started, proceed = asyncio.Event(), asyncio.Event()
    runs: list[str] = []

    async def factory(request: web.BaseRequest) -> web.Response:
        runs.append(request.path)
        started.set()
        await proceed.wait()
        return web.Response(body=b'filed')

    async with run_target(factory) as address:
        async with run_mesh(make_view([make_target(address)])) as mesh:
            first = asyncio.create_task(
                mesh.call('POST', '/prescriptions', headers=KEY),
            )
            await started.wait()
            first.cancel()
            second = asyncio.create_task(
                mesh.call('POST', '/prescriptions', headers=KEY),
            )
            await asyncio.sleep(0)
            proceed.set()
            assert await second == (200, None, b'filed')
    assert len(runs) == 1


async def test_resend_gets_its_own_request_identifier() -> None:
    """Guards against a stored response with another request identifier."""
    async with run_scripted((GOOD, KEEP)) as (address, _):
        async with run_mesh(make_view([make_target(address)])) as mesh:
            url = f'http://{mesh.address}/prescriptions'
            await mesh.call('POST', '/prescriptions', headers=KEY)
            headers = {'x-request-id': 'second', **KEY}
            async with mesh.client.post(url, headers=headers) as answer:
                assert answer.headers['x-request-id'] == 'second'


_LARGE = bytes(1_000_000)
_LARGE_CALLS = 40


async def _call_with_keys(mesh: Mesh) -> list[tuple[int, str | None, bytes]]:
    """Make a call with each of the keys at once."""
    return await asyncio.gather(
        *(
            mesh.call(
                'POST',
                '/prescriptions',
                headers={'idempotency-key': f'k{number}'},
            )
            for number in range(_LARGE_CALLS)
        ),
    )


async def test_kept_answers_are_bounded_together() -> None:
    """Guards against a node that ends for the memory of kept answers, and
    against a second run of a call whose answer is not kept.
    """
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(_LARGE)
    steps = [(b''.join((head, _LARGE)), KEEP) for _ in range(_LARGE_CALLS)]
    async with run_scripted(*steps) as (address, target):
        async with run_mesh(make_view([make_target(address)])) as mesh:
            answers = await _call_with_keys(mesh)
            resent = await _call_with_keys(mesh)
    assert set(answers) == {(200, None, _LARGE)}
    kept = resent.count((200, None, _LARGE))
    told = [answer[:2] for answer in resent].count((409, 'unknown'))
    assert kept == MAX_KEPT_BYTES // len(_LARGE)
    assert kept + told == _LARGE_CALLS
    assert target.requests == _LARGE_CALLS
