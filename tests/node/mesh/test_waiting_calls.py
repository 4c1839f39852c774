"""Tests of the order of calls that wait for a target."""

import asyncio
from collections import Counter
from contextlib import suppress

from mustardspur_node.mesh.admission import AdmissionControl
from mustardspur_node.mesh.calls import PlacementFault
from mustardspur_node.mesh.fair_shares import MAX_ACCOUNTS, FairShares
from mustardspur_node.mesh.waiting_calls import WaitingCalls

from tests.node.mesh.builders import waiting_request
from tests.support.virtual_time import in_virtual_time

SLOTS = 4
RUN_S = 0.05
MAX_WAIT_MS = 150.0
LENGTH_S = 10.0


class _OfferedLoad:
    """Calls of accounts to one target, and how many of each were run."""

    def __init__(self) -> None:
        self.run_by_account: Counter[str] = Counter()
        self.offered_by_account: Counter[str] = Counter()
        self._admission = AdmissionControl()
        self._admission.open = True
        self._admission.resize(SLOTS)
        self._admission.run_times.record(RUN_S * 1000, failed=False)

    async def offer(self, account: str, per_s: float) -> None:
        """Offer the calls of an account at even distances."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(LENGTH_S * per_s)):
                group.create_task(self._call(account, number / per_s))

    def served_percent(self, account: str) -> int:
        """Return the percentage of an account's calls that were run."""
        run = self.run_by_account[account]
        return 100 * run // self.offered_by_account[account]

    async def _call(self, account: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.offered_by_account[account] += 1
        request = waiting_request(1, account)
        with suppress(PlacementFault):
            async with self._admission.admitted(request, MAX_WAIT_MS):
                await asyncio.sleep(RUN_S)
                self.run_by_account[account] += 1


@in_virtual_time
async def test_hot_account_does_not_displace_others() -> None:
    """Guards against one account whose calls take the slots of all others.

    The target runs 80 calls a second. Two accounts call 15 times a second
    each, a third one 240 times.
    """
    load = _OfferedLoad()
    async with asyncio.TaskGroup() as group:
        group.create_task(load.offer('quiet-1', 15))
        group.create_task(load.offer('quiet-2', 15))
        group.create_task(load.offer('hot', 240))
    assert load.served_percent('quiet-1') > 95
    assert load.served_percent('quiet-2') > 95
    assert load.run_by_account['hot'] > 40 * LENGTH_S


@in_virtual_time
async def test_calls_without_accounts_keep_their_order() -> None:
    """Guards against another order where no accounts are configured."""
    waiting = WaitingCalls()
    waiters = [waiting.add(waiting_request(rank)) for rank in (1, 0, 1, 0)]
    popped = [waiting.pop() for _ in waiters]
    assert popped == [waiters[1], waiters[3], waiters[0], waiters[2]]


@in_virtual_time
async def test_nested_calls_go_before_calls_of_accounts() -> None:
    """Guards against nested calls whose refusal loses the outer call."""
    waiting = WaitingCalls()
    waiting.add(waiting_request(1, 'account'))
    nested = waiting.add(waiting_request(1))
    assert waiting.count_before(waiting_request(1, 'account')) == 2
    assert waiting.pop() is nested


@in_virtual_time
async def test_rank_goes_before_the_share() -> None:
    """Guards against urgent calls behind those of less active accounts."""
    waiting = WaitingCalls()
    for _ in range(3):
        waiting.record_immediate_start(waiting_request(0, 'active'))
    waiting.add(waiting_request(1, 'idle'))
    urgent = waiting.add(waiting_request(0, 'active'))
    assert waiting.pop() is urgent


def test_idle_account_gains_no_credit() -> None:
    """Guards against an account that displaces others after it was idle."""
    shares = FairShares()
    for _ in range(100):
        shares.record_start(shares.reserve('busy', 50.0))
    assert shares.start_of_next('idle') == shares.reserve('busy', 50.0) - 50.0


def test_call_that_does_not_start_is_not_charged() -> None:
    """Guards against accounts that pay for calls that were refused."""
    shares = FairShares()
    shares.reserve('a', 50.0)
    shares.release('a', 50.0)
    assert shares.start_of_next('a') == 0


def test_number_of_accounts_is_bounded() -> None:
    """Guards against memory that grows with each new account."""
    shares = FairShares()
    accounts = [f'account-{number}' for number in range(3 * MAX_ACCOUNTS)]
    for account in accounts:
        shares.reserve(account, 50.0)
    known = [each for each in accounts if shares.start_of_next(each)]
    assert len(known) == MAX_ACCOUNTS
