"""Guards against edits that are lost, doubled or sent to a wrong address."""

import re
from collections import deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import pytest
from mustardspur_client.answers import ControlAnswer
from mustardspur_client.control import ControlClient, RetryTiming
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.transport import Request, SendError
from mustardspur_client.verb_errors import VerbError

Reply = ControlAnswer | SendError
EDIT = MappingProxyType({'edit_id': 'e1', 'operator': 'ana'})
TIMEOUT_S = 2.0
MAX_SENT = 20


class FakeTransport:
    """Transport with scripted replies for each address.

    Parameters
    ----------
    replies : mapping of list
        Replies in order by address; the last one is repeated.
    """

    __slots__ = ('_replies', 'sent')

    def __init__(self, replies: Mapping[str, list[Reply]]) -> None:
        """Initialise without sent requests."""
        self._replies = {
            address: deque(scripted) for address, scripted in replies.items()
        }
        self.sent: list[tuple[str, dict[str, Any] | None]] = []

    async def send(self, address: str, request: Request) -> ControlAnswer:
        """Return or raise the next reply of an address."""
        self.sent.append((address, request.body))
        assert len(self.sent) <= MAX_SENT, 'addresses are tried endlessly'
        replies = self._replies[address]
        reply = replies[0] if len(replies) == 1 else replies.popleft()
        if isinstance(reply, SendError):
            raise reply
        return reply


class FakeClock:
    """Clock that advances only by `sleep`."""

    __slots__ = ('now_s',)

    def __init__(self) -> None:
        """Initialise at zero."""
        self.now_s = float(0)

    def read(self) -> float:
        """Return the current time in seconds."""
        return self.now_s

    async def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.now_s += seconds


def _unavailable(kind: str, leader: str | None = None) -> ControlAnswer:
    body = {'kind': kind, 'reason': f'test {kind}', 'leader': leader}
    return ControlAnswer(status=503, body=body)


REPLIES: Mapping[str, Reply] = MappingProxyType(
    {
        'ok': ControlAnswer(status=200, body={'index': 7}),
        'down': SendError(False, 'connection refused'),
        'lost': SendError(True, 'no answer'),
        'no_leader': _unavailable('not_leader'),
        'a_leads': _unavailable('not_leader', 'a'),
        'b_leads': _unavailable('not_leader', 'b'),
        'c_leads': _unavailable('not_leader', 'c'),
        'no_quorum': _unavailable('no_quorum'),
        'unknown': _unavailable('unknown'),
        '404': ControlAnswer(status=404, body={}),
        '409': ControlAnswer(status=409, body={}),
        '413': ControlAnswer(status=413, body={}),
        '422': ControlAnswer(status=422, body={}),
        '500': ControlAnswer(status=500, body={}),
    }
)
# Replies of the control instances a and b, which are given to the client, and
# of c, which is known only as a leader's address; the exit code; the addresses
# in order of the requests.
CASES = (
    ('a=ok', ExitCode.OK, 'a'),
    ('a=down b=ok', ExitCode.OK, 'ab'),
    ('a=c_leads c=ok', ExitCode.OK, 'ac'),
    ('a=c_leads c=down b=ok', ExitCode.OK, 'acb'),
    ('a=b_leads b=a_leads,ok', ExitCode.OK, 'abab'),
    ('a=b_leads b=a_leads', ExitCode.UNAVAILABLE, 'abababab'),
    ('a=no_leader,ok b=down', ExitCode.OK, 'aba'),
    ('a=lost,ok b=a_leads', ExitCode.OK, 'aba'),
    ('a=unknown,ok b=down', ExitCode.OK, 'aba'),
    ('a=lost,no_quorum b=down', ExitCode.UNCERTAIN, 'abababab'),
    ('a=500 b=down', ExitCode.UNCERTAIN, 'abababab'),
    ('a=down b=no_quorum', ExitCode.UNAVAILABLE, 'abababab'),
    ('a=409', ExitCode.CONFLICT, 'a'),
    ('a=422', ExitCode.FINDINGS, 'a'),
    ('a=413', ExitCode.FINDINGS, 'a'),
    ('a=404', ExitCode.NOT_FOUND, 'a'),
)


def _transport(replies: str) -> FakeTransport:
    return FakeTransport(
        {
            address: [REPLIES[name] for name in names.split(',')]
            for address, names in re.findall(r'(\w)=(\S+)', replies)
        }
    )


async def _edit(client: ControlClient) -> int:
    try:
        await client.edit('PUT', '/v1/profiles/p', dict(EDIT))
    except VerbError as error:
        assert error.message
        if error.code == ExitCode.UNCERTAIN:
            assert '--edit-id e1' in error.message
        return error.code
    return ExitCode.OK


@pytest.mark.parametrize(('replies', 'code', 'addresses'), CASES)
async def test_edit(replies: str, code: int, addresses: str) -> None:
    """Guards against a wrong address, edit identifier or exit code."""
    transport = _transport(replies)
    clock = FakeClock()
    client = ControlClient(
        ['a', 'b'],
        transport,
        RetryTiming(timeout_s=TIMEOUT_S, clock=clock.read, sleep=clock.sleep),
    )
    assert await _edit(client) == code
    assert ''.join(address for address, _ in transport.sent) == addresses
    assert all(body == EDIT for _, body in transport.sent)
    assert clock.now_s < TIMEOUT_S


async def test_read_without_answer_is_unavailable() -> None:
    """Guards against a read that is reported as an uncertain edit."""
    clock = FakeClock()
    client = ControlClient(
        ['a'],
        _transport('a=lost'),
        RetryTiming(timeout_s=0, clock=clock.read, sleep=clock.sleep),
    )
    with pytest.raises(VerbError) as raised:
        await client.read('/v1/moves')
    assert raised.value.code == ExitCode.UNAVAILABLE
