"""Checks of edits, run before the proposal and again when applied."""

import json
import re
from collections.abc import Callable, Iterator
from typing import Any, Final

from mustardspur_core.conversion import encode_mapping
from mustardspur_core.edits import (
    FollowProfile,
    MoveOrder,
    OrderMove,
    PutProfile,
)
from mustardspur_core.findings import Finding
from mustardspur_core.profile import Profile, parse_profile
from mustardspur_core.record import Record

from mustardspur_control.store.results import edit_finding

MAX_EDIT_ID_CHARS: Final = 128
# A profile can have a finding for each field. Every voter stores the answer,
# so only the first findings are listed.
MAX_FINDINGS: Final = 50

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_Check = Callable[[Any], Iterator[Finding]]
_checks_by_type: dict[type[Record], _Check] = {}


def edit_findings(edit: Record) -> list[Finding]:
    """Return the findings about an edit, without reference to the state.

    Parameters
    ----------
    edit : PutProfile, FollowProfile or OrderMove
        The edit. Its own time is used as the current time, so that all
        replicas get the same result.
    """
    findings = [
        *_check_identity(edit),
        *_checks_by_type[type(edit)](edit),
    ]
    return findings[:MAX_FINDINGS]


def _check_for(edit_type: type[Record]) -> Callable[[_Check], _Check]:
    def decorator(check: _Check) -> _Check:
        _checks_by_type[edit_type] = check
        return check

    return decorator


@_check_for(PutProfile)
def _check_put(edit: PutProfile) -> Iterator[Finding]:
    if edit.expected_number < 0:
        yield edit_finding(
            '$.expected_number',
            'a number from 0',
            edit.expected_number,
        )
    document = profile_document(edit.profile)
    parsed = parse_profile(document, 'profile', edit.at_s)
    if parsed.is_error():
        yield from parsed.error.entries
    # NaN passes the minimum and maximum checks of the schema.
    elif not _has_finite_numbers(document):
        yield edit_finding('$.profile', 'finite numbers', 'NaN or Infinity')


@_check_for(FollowProfile)
def _check_follow(edit: FollowProfile) -> Iterator[Finding]:
    if not _NAME.fullmatch(edit.service):
        yield edit_finding('$.service', 'a name', edit.service)


@_check_for(OrderMove)
def _check_order(edit: OrderMove) -> Iterator[Finding]:
    orders = [order.value for order in MoveOrder]
    if edit.order not in orders:
        listed = ', '.join(orders)
        yield edit_finding('$.order', f'one of {listed}', edit.order)


def _has_finite_numbers(document: dict[str, Any]) -> bool:
    try:
        json.dumps(document, allow_nan=False)
    except ValueError:
        return False
    return True


def profile_document(profile: Profile) -> dict[str, Any]:
    """Return a profile as the JSON document that `parse_profile` reads."""
    document: dict[str, Any] = encode_mapping(profile)
    document['move'] = {
        name: entry
        for name, entry in document['move'].items()
        if entry is not None
    }
    return document


def _check_identity(edit: Any) -> Iterator[Finding]:
    for name in ('edit_id', 'operator'):
        text = getattr(edit, name)
        if not 0 < len(text) <= MAX_EDIT_ID_CHARS:
            yield edit_finding(
                f'$.{name}',
                f'1 to {MAX_EDIT_ID_CHARS} characters',
                f'{len(text)}',
            )
