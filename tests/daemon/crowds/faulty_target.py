"""A target that sends bytes without end, and its callers."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from typing import Final

from aiohttp import ClientError, ClientResponse, ClientSession

from tests.daemon.crowds.faulty_answers import FaultyAnswer
from tests.daemon.crowds.limited_node import FAULTY_PATH, LimitedNode
from tests.node.stand_ins.mesh import run_raw_target

CALLERS: Final = 16
_HEAD_END: Final = b'\r\n\r\n'
_HEALTH: Final = b'GET /health '
_REQUEST_ID: Final = re.compile(rb'x-request-id: *([^\r]+)', re.IGNORECASE)
_DELIMITERS: Final = ('content-length', 'transfer-encoding')
_OUTCOME: Final = 'x-mustardspur-outcome'
_BUFFER_BYTES: Final = 65_536
BROKEN: Final = 'broken'


class FaultyTarget:
    """Goes on with its answer until the connection is closed.

    Parameters
    ----------
    answer : FaultyAnswer
        What it sends for a call, or for a health check.
    answers_calls : bool
        Whether calls get it; otherwise they get nothing, and health checks
        get it.

    Attributes
    ----------
    called : set of str
        Identifiers of the calls that it has received.
    health_checks : int
        Health checks that it has received.
    """

    __slots__ = ('_answer', '_answers_calls', 'called', 'health_checks')

    def __init__(self, answer: FaultyAnswer, *, answers_calls: bool) -> None:
        """Initialise without calls."""
        self._answer = answer
        self._answers_calls = answers_calls
        self.called: set[str] = set()
        self.health_checks = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection until the node closes it."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(_HEAD_END)
            is_check = head.startswith(_HEALTH)
            self._note(head, is_check=is_check)
            if is_check == self._answers_calls:
                await reader.read()
            else:
                await self._send(writer)
        writer.close()

    def _note(self, head: bytes, *, is_check: bool) -> None:
        if is_check:
            self.health_checks += 1
            return
        found = _REQUEST_ID.search(head)
        assert found is not None
        self.called.add(found.group(1).decode())

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._answer.begin)
        while not writer.is_closing():
            writer.write(self._answer.part)
            await writer.drain()
            # Otherwise one target would keep the callers from their turns.
            await asyncio.sleep(0)


@asynccontextmanager
async def running_target(target: FaultyTarget) -> AsyncIterator[str]:
    """Run a target and yield its address."""
    async with run_raw_target(target.serve) as address:
        yield address


class FaultyCalls:
    """Calls of the faulty target by a small crowd of callers.

    Parameters
    ----------
    node : LimitedNode
        The node that is called.
    session : aiohttp.ClientSession
        Session of all callers.
    calls_each : int
        Calls that each caller makes, one after the other.

    Attributes
    ----------
    ends_by_id : dict
        How each call ended: its status and outcome, or `BROKEN`.
    """

    __slots__ = ('_calls_each', '_node', '_session', 'ends_by_id')

    def __init__(
        self, node: LimitedNode, session: ClientSession, calls_each: int
    ) -> None:
        """Initialise without calls."""
        self._calls_each = calls_each
        self._node = node
        self._session = session
        self.ends_by_id: dict[str, str] = {}

    async def play(self) -> None:
        """Make all calls, and wait for their ends."""
        callers = [self._call_often(number) for number in range(CALLERS)]
        await asyncio.gather(*callers)

    async def _call_often(self, caller: int) -> None:
        number = 0
        while number < self._calls_each and not self._node.usage.is_killed:
            request_id = f'{caller}-{number}'
            self.ends_by_id[request_id] = await self._call(request_id)
            number += 1

    async def _call(self, request_id: str) -> str:
        url = self._node.url(FAULTY_PATH)
        headers = {'x-request-id': request_id}
        try:
            async with self._session.post(url, headers=headers) as answer:
                return await _end(answer)
        except (ClientError, OSError):
            return BROKEN


async def _end(answer: ClientResponse) -> str:
    """Return status and outcome of an answer that is whole."""
    async for _ in answer.content.iter_any():
        """Reads the body without keeping it."""
    # Nothing else tells a whole body from a cut one.
    assert answer.status == HTTPStatus.NO_CONTENT or any(
        name in answer.headers for name in _DELIMITERS
    )
    outcome = answer.headers.get(_OUTCOME, '')
    return f'{answer.status} {outcome}'.strip()
