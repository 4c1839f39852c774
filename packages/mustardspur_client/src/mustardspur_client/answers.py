"""Answers of a control instance and the errors for their status."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from mustardspur_core.record import Record

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.verb_errors import VerbError


class ControlAnswer(Record):
    """HTTP status and decoded JSON body of an answer."""

    __slots__ = ('status', 'body')
    status: int
    body: dict[str, Any]


def successful_body(answer: ControlAnswer) -> dict[str, Any]:
    """Return the body of a successful answer.

    Raises
    ------
    VerbError
        If the control instance rejected the request.
    """
    if answer.status == HTTPStatus.OK:
        return answer.body
    raise _errors_by_status.get(answer.status, _refused)(answer)


def _conflict(answer: ControlAnswer) -> VerbError:
    reason = answer.body.get('reason')
    if reason:
        return VerbError(ExitCode.CONFLICT, reason)
    number = answer.body.get('current_number', 0)
    editor = answer.body.get('edited_by') or 'nobody'
    changes = answer.body.get('changes', [])
    return VerbError(
        ExitCode.CONFLICT,
        f'lost to an earlier edit by {editor}; now at number {number}',
        [{'change': change} for change in changes],
    )


def _findings(answer: ControlAnswer) -> VerbError:
    findings = answer.body.get('findings', [])
    return VerbError(ExitCode.FINDINGS, 'refused with findings', findings)


def _not_found(answer: ControlAnswer) -> VerbError:
    findings = answer.body.get('findings', [])
    return VerbError(ExitCode.NOT_FOUND, 'not found', findings)


def _refused(answer: ControlAnswer) -> VerbError:
    reason = answer.body.get('reason', 'no reason given')
    return VerbError(
        ExitCode.FINDINGS,
        f'refused with status {answer.status}: {reason}',
    )


_errors_by_status: MappingProxyType[
    int, Callable[[ControlAnswer], VerbError]
] = MappingProxyType(
    {
        HTTPStatus.CONFLICT: _conflict,
        HTTPStatus.UNPROCESSABLE_ENTITY: _findings,
        HTTPStatus.NOT_FOUND: _not_found,
    }
)
