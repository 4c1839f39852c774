"""Guards against edits that are lost, doubled or sent to the wrong place."""

from collections import deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import pytest
from mustardspur_client.answers import ControlAnswer
from mustardspur_client.control import ControlClient, Patience
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.problems import Problem
from mustardspur_client.transport import Request, SendError

Reply = ControlAnswer | SendError
_Replies = dict[str, list[Reply]]
_Case = tuple[_Replies, int, str]
EDIT = MappingProxyType({'edit_id': 'e1', 'operator': 'ana'})
TIMEOUT_S = 2.0


class FakeTransport:
    """Answers from a script for each address.

    Parameters
    ----------
    replies : mapping of list
        Replies by address in order; the last one is repeated.
    """

    __slots__ = ('_replies', 'sent')

    def __init__(self, replies: Mapping[str, list[Reply]]) -> None:
        """Start with nothing sent."""
        self._replies = {name: deque(made) for name, made in replies.items()}
        self.sent: list[tuple[str, dict[str, Any] | None]] = []

    async def send(self, address: str, request: Request) -> ControlAnswer:
        """Return or raise the next reply of an address."""
        self.sent.append((address, request.body))
        replies = self._replies[address]
        reply = replies[0] if len(replies) == 1 else replies.popleft()
        if isinstance(reply, SendError):
            raise reply
        return reply


class FakeClock:
    """A clock that only pauses move on."""

    __slots__ = ('now_s',)

    def __init__(self) -> None:
        """Start at zero."""
        self.now_s = float(0)

    def read(self) -> float:
        """Return the time."""
        return self.now_s

    async def pause(self, seconds: float) -> None:
        """Let the time pass."""
        self.now_s += seconds


def _ok() -> ControlAnswer:
    return ControlAnswer(status=200, body={'index': 7})


def _not_now(kind: str, leader: str | None = None) -> ControlAnswer:
    body = {'kind': kind, 'reason': f'test {kind}', 'leader': leader}
    return ControlAnswer(status=503, body=body)


def _refusal(status: int) -> ControlAnswer:
    return ControlAnswer(status=status, body={})


_DOWN = SendError(False, 'connection refused')
_LOST = SendError(True, 'no answer')
_BROKEN = _refusal(500)

# Replies of two given instances, a and b, and of c, which only a leader's
# address leads to; then the exit code and the addresses asked in order.
CASES: Mapping[str, _Case] = MappingProxyType(
    {
        'first answers': ({'a': [_ok()]}, ExitCode.OK, 'a'),
        'first is down': ({'a': [_DOWN], 'b': [_ok()]}, ExitCode.OK, 'ab'),
        'follower names the leader': (
            {'a': [_not_now('not_leader', 'c')], 'c': [_ok()]},
            ExitCode.OK,
            'ac',
        ),
        'leader named is down': (
            {
                'a': [_not_now('not_leader', 'c')],
                'c': [_DOWN],
                'b': [_ok()],
            },
            ExitCode.OK,
            'acb',
        ),
        'two name each other': (
            {
                'a': [_not_now('not_leader', 'b')],
                'b': [_not_now('not_leader', 'a'), _ok()],
            },
            ExitCode.OK,
            'abab',
        ),
        'election': (
            {'a': [_not_now('not_leader'), _ok()], 'b': [_DOWN]},
            ExitCode.OK,
            'aba',
        ),
        'lost answer': (
            {'a': [_LOST, _ok()], 'b': [_not_now('not_leader', 'a')]},
            ExitCode.OK,
            'aba',
        ),
        'uncertain commit': (
            {'a': [_not_now('unknown'), _ok()], 'b': [_DOWN]},
            ExitCode.OK,
            'aba',
        ),
        'lost, then no quorum': (
            {'a': [_LOST, _not_now('no_quorum')], 'b': [_DOWN]},
            ExitCode.UNCERTAIN,
            'abababab',
        ),
        'internal error': (
            {'a': [_BROKEN], 'b': [_DOWN]},
            ExitCode.UNCERTAIN,
            'abababab',
        ),
        'never sent': (
            {'a': [_DOWN], 'b': [_not_now('no_quorum')]},
            ExitCode.UNAVAILABLE,
            'abababab',
        ),
        'conflict is final': ({'a': [_refusal(409)]}, ExitCode.CONFLICT, 'a'),
        'findings are final': ({'a': [_refusal(422)]}, ExitCode.FINDINGS, 'a'),
        'too large is final': ({'a': [_refusal(413)]}, ExitCode.FINDINGS, 'a'),
        'unknown is final': ({'a': [_refusal(404)]}, ExitCode.NOT_FOUND, 'a'),
    }
)


async def _edit(client: ControlClient) -> int:
    try:
        await client.edit('PUT', '/v1/profiles/p', dict(EDIT))
    except Problem as problem:
        assert problem.message
        if problem.code == ExitCode.UNCERTAIN:
            assert '--edit-id e1' in problem.message
        return problem.code
    return ExitCode.OK


@pytest.mark.parametrize('name', CASES)
async def test_edit(name: str) -> None:
    """Guards against a wrong address, a new identifier, a wrong verdict."""
    replies, code, asked = CASES[name]
    transport = FakeTransport(replies)
    clock = FakeClock()
    client = ControlClient(
        ['a', 'b'],
        transport,
        Patience(timeout_s=TIMEOUT_S, clock=clock.read, pause=clock.pause),
    )
    assert await _edit(client) == code
    assert ''.join(address for address, _ in transport.sent) == asked
    assert all(body == EDIT for _, body in transport.sent)
    assert clock.now_s < TIMEOUT_S


async def test_read_without_answer_is_unavailable() -> None:
    """Guards against a read that is reported as an uncertain edit."""
    clock = FakeClock()
    client = ControlClient(
        ['a'],
        FakeTransport({'a': [_LOST]}),
        Patience(timeout_s=0, clock=clock.read, pause=clock.pause),
    )
    with pytest.raises(Problem) as raised:
        await client.read('/v1/moves')
    assert raised.value.code == ExitCode.UNAVAILABLE
