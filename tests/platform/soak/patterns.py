"""Callers that use their connections in other ways than one by one."""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from typing import Final

from tests.platform.soak.promises import Outcome
from tests.platform.soak.traffic import Caller, send

# Requests that are sent before the first of them is answered.
BURST: Final = 4
BODY_BYTES: Final = 2000
# Longest pause in a body; its request still has time left after it.
MAX_BODY_PAUSE_S: Final = 1.0


class PipeliningCaller(Caller):
    """Sends several requests behind each other."""

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Outcome:
        requests = [self._next_request(once=False) for _ in range(BURST)]
        send(writer, b''.join(head for _, head in requests))
        sent_s = time.monotonic()
        ids = [request_id for request_id, _ in requests]
        outcome = await self._outcome(reader, ids.pop(0), sent_s)
        # After the end of the connection the others are lost at once.
        async for request_id in _in_turn(ids):
            if self._has_given_up:
                # The next answer is that of the lost request.
                break
            outcome = await self._outcome(
                reader, request_id, sent_s, is_behind=True
            )
        return outcome


async def _in_turn(ids: list[str]) -> AsyncIterator[str]:
    for request_id in ids:
        yield request_id


class SlowCaller(Caller):
    """Sends requests that may run once and whose bodies arrive slowly."""

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Outcome:
        request_id, head = self._next_request(once=True, body_bytes=BODY_BYTES)
        body = bytes(BODY_BYTES)
        send(writer, head + body[: BODY_BYTES // 2])
        await asyncio.sleep(random.uniform(0, MAX_BODY_PAUSE_S))
        send(writer, body[BODY_BYTES // 2 :])
        return await self._outcome(reader, request_id, time.monotonic())
