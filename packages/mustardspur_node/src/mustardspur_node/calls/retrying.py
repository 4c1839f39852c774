"""Retry decisions."""

from http import HTTPStatus
from typing import Final

from mustardspur_node.calls import names
from mustardspur_node.calls.attempts import (
    Attempt,
    AttemptError,
    Reply,
    TargetUnreachable,
)
from mustardspur_node.calls.calls import Call, call_fault
from mustardspur_node.calls.error_responses import CallFault

# Unreachable targets after which a call is refused; nothing was sent to any
# of them.
MAX_UNREACHABLE_TARGETS: Final = 4
_RETRIED_STATUSES: Final = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)


def may_retry(call: Call, fault: AttemptError, forwarded_budget: int) -> bool:
    """Return whether a call may be retried, and charge the budgets for it.

    Explanation
    ===========

    A target that does not accept a connection is not charged, but the number
    of such targets is bounded. Any other retry counts towards the attempts
    of the route and is charged to the retry budgets of the node and of the
    call chain.

    Parameters
    ----------
    call : Call
        The call.
    fault : AttemptError
        Error of the last attempt.
    forwarded_budget : int
        Part of the chain's retry budget that the attempt carried, which is
        refunded if the target did not run the call.
    """
    if not call.body.repeatable:
        return False
    if not fault.ran:
        call.chain_budget.refund(forwarded_budget)
    if isinstance(fault, TargetUnreachable):
        call.unreachable_targets += 1
        return call.unreachable_targets < MAX_UNREACHABLE_TARGETS
    if fault.ran and not call.route.idempotent:
        return False
    return _charge_attempt(call)


def may_replace(call: Call, attempt: Attempt, reply: Reply) -> bool:
    """Return whether to retry after an error response, and charge for it.

    The budget that the target reports as unspent is refunded first.
    """
    response = reply.response
    if response.status not in _RETRIED_STATUSES:
        return False
    if not (call.route.idempotent and call.body.repeatable):
        return False
    unspent = response.headers.get(names.RETRY_BUDGET, '')
    if unspent.isascii() and unspent.isdigit():
        call.chain_budget.refund(min(int(unspent), attempt.forwarded_budget))
    return _charge_attempt(call)


def _charge_attempt(call: Call) -> bool:
    call.failed_attempts += 1
    return (
        call.failed_attempts < call.route.attempts
        and call.chain_budget.remaining > 0
        and call.route.budget.withdraw()
        and call.chain_budget.withdraw()
    )


def final_fault(call: Call, fault: AttemptError) -> CallFault:
    """Return the fault of a call that is not retried."""
    status = (
        HTTPStatus.BAD_GATEWAY if fault.ran else HTTPStatus.SERVICE_UNAVAILABLE
    )
    return call_fault(call, status, fault.reason)
