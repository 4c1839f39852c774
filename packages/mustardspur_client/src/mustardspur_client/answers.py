"""Answers of a control instance, and the failures behind their status."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from mustardspur_core.record import Record

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.problems import Problem


class ControlAnswer(Record):
    """Status and decoded JSON body of an answer."""

    __slots__ = ('status', 'body')
    status: int
    body: dict[str, Any]


def final_body(answer: ControlAnswer) -> dict[str, Any]:
    """Return the body of a good answer.

    Raises
    ------
    Problem
        If the control instance refused the request.
    """
    if answer.status == HTTPStatus.OK:
        return answer.body
    raise _problems.get(answer.status, _refused)(answer)


def _conflict(answer: ControlAnswer) -> Problem:
    number = answer.body.get('current_number', 0)
    winner = answer.body.get('edited_by') or 'nobody'
    changes = answer.body.get('changes', [])
    return Problem(
        ExitCode.CONFLICT,
        f'lost to an earlier edit by {winner}; now at number {number}',
        [{'change': change} for change in changes],
    )


def _findings(answer: ControlAnswer) -> Problem:
    found = answer.body.get('findings', [])
    return Problem(ExitCode.FINDINGS, 'refused with findings', found)


def _not_found(answer: ControlAnswer) -> Problem:
    found = answer.body.get('findings', [])
    return Problem(ExitCode.NOT_FOUND, 'not found', found)


def _refused(answer: ControlAnswer) -> Problem:
    reason = answer.body.get('reason', 'no reason given')
    return Problem(
        ExitCode.FINDINGS,
        f'refused with status {answer.status}: {reason}',
    )


_problems: MappingProxyType[int, Callable[[ControlAnswer], Problem]] = (
    MappingProxyType(
        {
            HTTPStatus.CONFLICT: _conflict,
            HTTPStatus.UNPROCESSABLE_ENTITY: _findings,
            HTTPStatus.NOT_FOUND: _not_found,
        }
    )
)
