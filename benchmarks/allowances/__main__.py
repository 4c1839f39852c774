"""Measures the processor time of account look-up and allowance for a call.

Run as ``python -m benchmarks.allowances``. The control instance answers within
the process, so that the time includes the messages of the node, both ways.
"""

import asyncio
import random
import sys
import time
from typing import Any

from multidict import CIMultiDict
from mustardspur_core.mesh import ClientAccount, RoutingTable
from mustardspur_core.mesh.control_messages import (
    AllowanceGrant,
    AllowanceRequest,
    AllowanceShare,
    AllowanceUse,
)
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.record import replaced
from mustardspur_core.wire import decode_frame, encode_frame
from mustardspur_node.mesh.allowances import NodeAllowances
from mustardspur_node.mesh.caller_accounts import CallerAccounts
from mustardspur_node.mesh.calls import UnansweredCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.view import MeshView, RouteIndex

from tests.core.mesh.builders import account, mesh_settings, route, table

CALLS = 4000
# More than a node gets, on average.
CALLS_PER_S = 800
CALLS_PER_TURN = 4
US_PER_S = 1_000_000
ACCOUNTS = 73


class _Control:
    """Stream to a control instance that grants or refuses everything."""

    def __init__(self, node: NodeAllowances, *, refuses: bool) -> None:
        self.node = node
        self.refuses = refuses
        self.requests = 0

    def enqueue(self, request: AllowanceRequest) -> None:
        self.requests += 1
        # Encoded and decoded as on a stream.
        body: Any = decode_frame(encode_frame(request)).body
        grants = [self._share(use) for use in body.uses]
        answer = encode_frame(AllowanceGrant(grants=grants))
        asyncio.get_running_loop().call_soon(self._deliver, answer)

    def _deliver(self, answer: bytes) -> None:
        body: Any = decode_frame(answer).body
        self.node.apply(body)

    def _share(self, use: AllowanceUse) -> AllowanceShare:
        return AllowanceShare(
            limit=use.limit,
            tokens=0 if self.refuses else use.wanted,
            valid_ms=1000,
            relaxed=not self.refuses,
            retry_after_ms=60_000 if self.refuses else 0,
        )


def _table(rate_per_s: float) -> RoutingTable:
    accounts: dict[str, ClientAccount] = {}
    for number in range(ACCOUNTS):
        name = f'account-{number}'
        accounts[name] = account(
            name,
            f'key-{number}',
            rate_per_s=rate_per_s,
            burst=rate_per_s,
        )
    return replaced(table(1, route('drafts')), accounts=accounts)


class _Node:
    """A node with accounts that have a limit, and its control instance."""

    def __init__(self, rate_per_s: float, *, refuses: bool) -> None:
        self.refused = 0
        self._routes = RouteIndex(_table(rate_per_s))
        self._used = self._routes.table.routes['drafts']
        view = MeshView()
        view.routes = self._routes
        decisions = DecisionLog()
        self._accounts = CallerAccounts(HEADER_NAMES, decisions)
        self._allowances = NodeAllowances(
            mesh_settings(), view, decisions, NullMetrics(), random.Random()
        )
        self.control = _Control(self._allowances, refuses=refuses)
        stream: Any = self.control
        self._allowances.attach(stream)

    async def call(self, number: int) -> None:
        """Look up the account of a call and ask for its allowance."""
        key = number % ACCOUNTS
        headers = CIMultiDict([('authorization', f'Bearer key-{key}')])
        account = self._accounts.identify(self._routes, self._used, headers)
        try:
            await self._allowances.admit(account, '')
        except UnansweredCall:
            self.refused += 1


async def _measure(call: Any) -> float:
    """Return the processor time of a call in microseconds."""
    started_s = time.process_time()
    for first in range(0, CALLS, CALLS_PER_TURN):
        numbers = range(first, first + CALLS_PER_TURN)
        await asyncio.gather(*(call(number) for number in numbers))
        await asyncio.sleep(CALLS_PER_TURN / CALLS_PER_S)
    return (time.process_time() - started_s) / CALLS * US_PER_S


async def _do_nothing(_: int) -> None:
    """Stand in for a call, to measure the harness."""


async def main() -> None:
    """Print one line for each case, without the time of the harness."""
    harness_us = await _measure(_do_nothing)
    cases = (
        ('without a limit', 0, False),
        ('far from the limit', 100, False),
        ('over the limit', 100, True),
    )
    for name, rate_per_s, refuses in cases:
        node = _Node(rate_per_s, refuses=refuses)
        took_us = await _measure(node.call) - harness_us
        requests = node.control.requests
        sys.stdout.write(f'{name}: {took_us:.1f} us, {requests} requests\n')


if __name__ == '__main__':
    asyncio.run(main())
