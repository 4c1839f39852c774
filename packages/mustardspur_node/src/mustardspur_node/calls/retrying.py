"""Decision whether a call is sent again."""

from http import HTTPStatus
from typing import Final

from mustardspur_node.calls import names
from mustardspur_node.calls.answers import CallFault
from mustardspur_node.calls.attempts import (
    Attempt,
    AttemptFault,
    Reply,
    Unreachable,
)
from mustardspur_node.calls.calls import Call, call_fault

# Targets that are tried in vain before a call is refused; nothing was sent
# to any of them.
MAX_PLACEMENTS: Final = 4
_RETRIED_STATUSES: Final = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)


def may_retry(call: Call, fault: AttemptFault, passed: int) -> bool:
    """Return whether a call may be sent again, and pay for it.

    Explanation
    ===========

    A target that takes no connection costs nothing but the placement. Any
    other attempt counts, and another one is paid from the budget of the
    node and from that of the chain.
    """
    if not call.body.repeatable:
        return False
    if not fault.ran:
        call.chain.give_back(passed)
    if isinstance(fault, Unreachable):
        call.placements += 1
        return call.placements < MAX_PLACEMENTS
    if fault.ran and not call.route.idempotent:
        return False
    return _pay_for_attempt(call)


def may_replace(call: Call, attempt: Attempt, reply: Reply) -> bool:
    """Return whether another attempt may replace a failure, and pay."""
    response = reply.response
    if response.status not in _RETRIED_STATUSES:
        return False
    if not (call.route.idempotent and call.body.repeatable):
        return False
    unspent = response.headers.get(names.RETRY_BUDGET, '')
    if unspent.isascii() and unspent.isdigit():
        call.chain.give_back(min(int(unspent), attempt.passed))
    return _pay_for_attempt(call)


def _pay_for_attempt(call: Call) -> bool:
    call.attempts += 1
    return (
        call.attempts < call.route.attempts
        and call.chain.left > 0
        and call.route.budget.withdraw()
        and call.chain.withdraw()
    )


def final_fault(call: Call, fault: AttemptFault) -> CallFault:
    """Return the fault of a call that is not sent again."""
    status = (
        HTTPStatus.BAD_GATEWAY if fault.ran else HTTPStatus.SERVICE_UNAVAILABLE
    )
    return call_fault(call, status, fault.reason)
