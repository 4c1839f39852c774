"""JSON responses of the operators' interface."""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from aiohttp import web
from mustardspur_agreement.ports import ProposalError
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.edits import AnswerStatus, EditAnswer
from mustardspur_core.findings import Finding

from mustardspur_control.operators_api.ports import OperatorsContext


def findings_response(
    findings: Sequence[Finding],
    status: HTTPStatus = HTTPStatus.UNPROCESSABLE_ENTITY,
) -> web.Response:
    """Return the response that lists the findings about a request."""
    return web.json_response(
        {'findings': [encode_mapping(finding) for finding in findings]},
        status=status,
    )


def answer_response(answer: EditAnswer) -> web.Response:
    """Return the response for the answer to an edit."""
    return _responses[AnswerStatus(answer.status)](answer)


def unavailable_response(
    context: OperatorsContext,
    error: ProposalError,
) -> web.Response:
    """Return a 503 response with the error and the leader's address.

    Explanation
    ===========

    With the kind ``unknown`` the edit may still be committed. A resend with
    the same edit identifier is safe and returns the outcome.
    """
    return web.json_response(
        {
            'kind': error.kind,
            'reason': error.detail,
            'leader': context.http_addresses.get(error.leader or ''),
        },
        status=HTTPStatus.SERVICE_UNAVAILABLE,
    )


def not_leader(context: OperatorsContext) -> ProposalError:
    """Return the error of a request that only the leader can answer."""
    return ProposalError(
        kind='not_leader',
        detail='this control instance is not the leader',
        leader=context.log.leader,
    )


def _accepted(answer: EditAnswer) -> web.Response:
    return web.json_response(
        {
            'number': answer.number,
            'index': answer.index,
            'changes': answer.changes,
        },
    )


def _conflict(answer: EditAnswer) -> web.Response:
    return web.json_response(
        {
            'current_number': answer.number,
            'edited_by': answer.edited_by,
            'changes': answer.changes,
        },
        status=HTTPStatus.CONFLICT,
    )


def _invalid(answer: EditAnswer) -> web.Response:
    return findings_response(answer.findings)


def _unknown(answer: EditAnswer) -> web.Response:
    return findings_response(answer.findings, HTTPStatus.NOT_FOUND)


_responses: MappingProxyType[
    AnswerStatus, Callable[[EditAnswer], web.Response]
] = MappingProxyType(
    {
        AnswerStatus.ACCEPTED: _accepted,
        AnswerStatus.CONFLICT: _conflict,
        AnswerStatus.INVALID: _invalid,
        AnswerStatus.UNKNOWN: _unknown,
    }
)


def read_response(
    body: dict[str, Any], staleness: dict[str, Any]
) -> web.Response:
    """Return the response of a read with its body and staleness."""
    return web.json_response(body | staleness)
