"""Tests of tokens that control instances borrow from each other."""

from mustardspur_control.mesh.lender_choice import (
    BORROW_WAIT_S,
    LenderChoice,
)
from mustardspur_control.mesh.limit_broker import LimitBroker
from mustardspur_control.mesh.token_borrowing import TokenBorrowing
from mustardspur_core.mesh.allowance_checks import check_request
from mustardspur_core.mesh.control_messages import AllowanceUse
from mustardspur_core.mesh.token_bucket import TokenBucket
from mustardspur_core.wire import encode_frame

LENDERS = ('c1', 'c2', 'c3')
_RATE_PER_S = 30
# Bytes that an instance may send to the others together.
_BYTES_PER_S = 1000
_SECONDS = 10


def _broker(name: str, tokens: float) -> LimitBroker:
    broker = LimitBroker(name, TokenBucket(0, tokens), now_s=0)
    broker.rate_per_s = _RATE_PER_S
    broker.burst = _RATE_PER_S
    broker.equal_share = 0.5
    broker.resize(0.5, now_s=0)
    return broker


def _borrowing(broker: LimitBroker) -> TokenBorrowing:
    choice = LenderChoice(lambda _: {}, now_s=0)
    return TokenBorrowing({broker.limit: broker}, choice)


def _use(limit: str, wanted: int) -> AllowanceUse:
    return AllowanceUse(limit=limit, spent=0, wanted=wanted, calls=wanted)


def test_a_loan_moves_tokens_and_makes_none() -> None:
    """Guards against calls beyond a limit by tokens that two instances use."""
    short, full = _broker('x', 0), _broker('x', 15)
    borrower, lender = _borrowing(short), _borrowing(full)
    borrower.check_shortages([_use('x', 1)])
    requests = borrower.requests(LENDERS[:1], now_s=0)
    grant = lender.lend(requests['c1'], now_s=0)
    assert not full.bucket.tokens
    assert not borrower.requests(LENDERS, now_s=0)
    borrower.receive('c1', requests['c1'], grant, now_s=0)
    assert short.bucket.tokens == short.bucket.capacity
    # A second answer for a bucket that has filled meanwhile adds nothing.
    short.borrow(5, now_s=0)
    assert short.bucket.tokens == short.bucket.capacity


def test_late_tokens_are_not_used() -> None:
    """Guards against tokens of an answer that was long on its way while the
    bucket of the lender has filled again.
    """
    short = _broker('x', 0)
    borrower = _borrowing(short)
    borrower.check_shortages([_use('x', 1)])
    request = borrower.requests(LENDERS[:1], now_s=0)['c1']
    grant = _borrowing(_broker('x', 15)).lend(request, now_s=0)
    arrives_s = BORROW_WAIT_S
    borrower.receive('c1', request, grant, arrives_s)
    short.bucket.refill(arrives_s)
    assert short.bucket.tokens == arrives_s * short.bucket.per_s


def test_lender_keeps_tokens_for_its_own_calls() -> None:
    """Guards against refusals at an instance that has lent all its tokens."""
    lender = _broker('x', 15)
    lender.answer('n1', _use('x', 5), now_s=0)
    # 10 are left: 5 for as many further calls, 2 that a relaxed grant reserves.
    assert lender.lend(100, now_s=0) == 3


def test_request_for_a_huge_limit_is_in_range() -> None:
    """Guards against a request to borrow that ends its stream."""
    broker = LimitBroker('x', TokenBucket(0, 0), now_s=0)
    broker.burst = 1e12
    broker.resize(1, now_s=0)
    borrowing = _borrowing(broker)
    borrowing.check_shortages([_use('x', 1)])
    check_request(borrowing.requests(LENDERS, now_s=0)['c1'])


def test_bytes_of_borrowing_are_bounded() -> None:
    """Guards against traffic between regions for many hot accounts, whose
    buckets are empty at all instances.
    """
    limits = [f'account/hot-{number}' for number in range(50)]
    brokers = {limit: _broker(limit, 0) for limit in limits}
    for broker in brokers.values():
        broker.bucket.set_limits(0, 15, now_s=0)
    borrowing = TokenBorrowing(brokers, LenderChoice(lambda _: {}, now_s=0))
    sent_bytes = sum(
        _exchange(borrowing, limits, step / 100)
        for step in range(_SECONDS * 100)
    )
    assert 0 < sent_bytes / _SECONDS < _BYTES_PER_S


def _exchange(
    borrowing: TokenBorrowing,
    limits: list[str],
    now_s: float,
) -> int:
    """Borrow for some limits from empty lenders, and return the bytes sent."""
    borrowing.check_shortages([_use(limit, 1) for limit in limits])
    sent_bytes = 0
    for lender, request in borrowing.requests(LENDERS, now_s).items():
        grant = borrowing.lend(request, now_s)
        borrowing.receive(lender, request, grant, now_s)
        sent_bytes += len(encode_frame(request)) + len(encode_frame(grant))
    return sent_bytes
