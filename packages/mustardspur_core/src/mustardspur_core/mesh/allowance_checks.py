"""Ranges of the values in the messages about shared limits.

Decoding checks the types of values only. A value out of its range would stay in
the state of a limit and harm the calls of other nodes: a demand that is no
number makes shares that are none, and calls spent in advance are taken from a
bucket even if it goes below zero.
"""

from typing import Final

from mustardspur_core.mesh.control_messages import (
    AllowanceDemand,
    AllowanceGrant,
    AllowanceRequest,
    AllowanceUse,
)
from mustardspur_core.readers import describe
from mustardspur_core.wire.codec import MalformedFrame

# Calls that a node may have admitted in advance and not reported.
MAX_SPENT: Final = 2
# Calls that a request states; a node that has refused more states this number.
MAX_CALLS: Final = 1_000_000
MAX_DEMAND_PER_S: Final = 1e9
# Of the name of a limit.
MAX_NAME_CHARS: Final = 1024
# Some years; a share of a limit of a call a day has a token in some months.
MAX_TIME_MS: Final = 1e12


def check_request(request: AllowanceRequest) -> None:
    """Check the numbers of a node's request.

    Raises
    ------
    MalformedFrame
        If a number is out of its range, or a limit occurs twice.
    """
    if len({use.limit for use in request.uses}) != len(request.uses):
        raise MalformedFrame('fields', 'a limit occurs twice')
    for use in request.uses:
        _check('spent', use.spent, MAX_SPENT)
        _check('wanted', use.wanted, MAX_CALLS)
        _check('calls', use.calls, MAX_CALLS)


def check_demand(update: AllowanceDemand) -> None:
    """Check the numbers of another control instance's demand.

    Raises
    ------
    MalformedFrame
        If a number is out of its range, or a name is too long.
    """
    for demand in update.demands:
        if len(demand.limit) > MAX_NAME_CHARS:
            raise MalformedFrame(
                'fields',
                f'limit: expected at most {MAX_NAME_CHARS} characters',
            )
        _check('per_s', demand.per_s, MAX_DEMAND_PER_S)


def check_grant(grant: AllowanceGrant, uses: list[AllowanceUse]) -> None:
    """Check a grant against its request.

    Raises
    ------
    MalformedFrame
        If a number is out of its range, or the grant is for other limits or
        more tokens than were asked for.
    """
    limits = [use.limit for use in uses]
    if [share.limit for share in grant.grants] != limits:
        raise MalformedFrame('fields', 'grant for other limits than asked for')
    for use, share in zip(uses, grant.grants, strict=True):
        _check('tokens', share.tokens, use.wanted)
        _check('valid_ms', share.valid_ms, MAX_TIME_MS)
        _check('retry_after_ms', share.retry_after_ms, MAX_TIME_MS)


def _check(name: str, number: float, most: float) -> None:
    # False for NaN, too.
    if not 0 <= number <= most:
        raise MalformedFrame(
            'fields',
            f'{name}: expected 0 to {most}, found {describe(number)}',
        )
